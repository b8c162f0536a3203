package org.ibisstand.operator;

import java.util.ArrayList;
import java.util.List;
import org.ibisstand.settings.Service;

/** Says which calls of one service may run more than once; all others may not. */
public final class ServiceBuilder {
    private final String mName;
    private final List<Service.Call> mCalls = new ArrayList<>();
    private String mPriorityClass = "default";

    ServiceBuilder(String name) {
        mName = name;
    }

    /** Sets the class of the requests; {@code default} unless set. */
    public ServiceBuilder priorityClass(String name) {
        mPriorityClass = name;
        return this;
    }

    /**
     * Declares calls that may run more than once; the first declaration that matches decides.
     *
     * @param method an HTTP method, or an asterisk for all
     * @param pathPrefix the beginning of the paths below the service
     */
    public ServiceBuilder idempotent(String method, String pathPrefix) {
        mCalls.add(new Service.Call(method, pathPrefix, true));
        return this;
    }

    /**
     * Declares calls that may run at most once; the first declaration that matches decides.
     *
     * @param method an HTTP method, or an asterisk for all
     * @param pathPrefix the beginning of the paths below the service
     */
    public ServiceBuilder nonIdempotent(String method, String pathPrefix) {
        mCalls.add(new Service.Call(method, pathPrefix, false));
        return this;
    }

    Service build() {
        return new Service(mName, mPriorityClass, mCalls);
    }
}
