package org.ibisstand.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Configuration;
import org.ibisstand.settings.ConfigurationReader;
import org.ibisstand.settings.Model;
import org.ibisstand.settings.PriorityClass;
import org.ibisstand.settings.Service;
import org.ibisstand.settings.Team;

/**
 * Builds a configuration and prints the JSON that {@code ibisstand configuration apply} accepts.
 *
 * <pre>{@code
 * byte[] json =
 *         ConfigurationBuilder.create()
 *                 .priorityClass("short", one -> one.rank(0).deadline(Duration.ofSeconds(30)))
 *                 .model("contracts", one -> one.weightsVersion("7").priorityClass("short"))
 *                 .team("buyers", one -> one.tokenDigest(digest).model("contracts"))
 *                 .print();
 * }</pre>
 */
public final class ConfigurationBuilder {
    private final List<Team> mTeams = new ArrayList<>();
    private final List<Model> mModels = new ArrayList<>();
    private final List<Service> mServices = new ArrayList<>();
    private final List<PriorityClass> mPriorityClasses = new ArrayList<>();
    private final ConfigurationReader mReader;

    private ConfigurationBuilder(ConfigurationReader reader) {
        mReader = reader;
    }

    /** Returns a builder of an empty configuration. */
    public static ConfigurationBuilder create() {
        return new ConfigurationBuilder(ConfigurationReader.create());
    }

    /**
     * Returns a builder that starts from a configuration, to change it.
     *
     * @param configuration what to start from
     */
    public static ConfigurationBuilder from(Configuration configuration) {
        ConfigurationBuilder builder = create();
        builder.mTeams.addAll(configuration.teams());
        builder.mModels.addAll(configuration.models());
        builder.mServices.addAll(configuration.services());
        builder.mPriorityClasses.addAll(configuration.priorityClasses());
        return builder;
    }

    /**
     * Adds a team, or replaces the one of the same name.
     *
     * @param name the name of the team
     * @param details sets the values that differ from the defaults of {@link TeamBuilder}
     */
    public ConfigurationBuilder team(String name, Consumer<TeamBuilder> details) {
        TeamBuilder builder = new TeamBuilder(name);
        details.accept(builder);
        mTeams.removeIf(one -> one.name().equals(name));
        mTeams.add(builder.build());
        return this;
    }

    /**
     * Adds a model, or replaces the one of the same name.
     *
     * @param name the name of the model
     * @param details sets the values that differ from the defaults of {@link ModelBuilder}
     */
    public ConfigurationBuilder model(String name, Consumer<ModelBuilder> details) {
        ModelBuilder builder = new ModelBuilder(name);
        details.accept(builder);
        mModels.removeIf(one -> one.name().equals(name));
        mModels.add(builder.build());
        return this;
    }

    /**
     * Adds a plain service, or replaces the one of the same name.
     *
     * @param name the name of the service
     * @param details says which calls are idempotent
     */
    public ConfigurationBuilder service(String name, Consumer<ServiceBuilder> details) {
        ServiceBuilder builder = new ServiceBuilder(name);
        details.accept(builder);
        mServices.removeIf(one -> one.name().equals(name));
        mServices.add(builder.build());
        return this;
    }

    /**
     * Adds a priority class, or replaces the one of the same name.
     *
     * @param name the name of the class
     * @param details sets the values that differ from the defaults of {@link PriorityClassBuilder}
     */
    public ConfigurationBuilder priorityClass(String name, Consumer<PriorityClassBuilder> details) {
        PriorityClassBuilder builder = new PriorityClassBuilder(name);
        details.accept(builder);
        mPriorityClasses.removeIf(one -> one.name().equals(name));
        mPriorityClasses.add(builder.build());
        return this;
    }

    /**
     * Returns the configuration, checked with the code that control uses.
     *
     * @throws IbisstandException with CONFIGURATION_INVALID and the path of the first fault
     */
    public Configuration build() {
        Configuration configuration =
                new Configuration(mTeams, mModels, mServices, mPriorityClasses);
        mReader.check(configuration);
        return configuration;
    }

    /**
     * Returns the configuration as JSON in UTF-8, checked with the code that control uses.
     *
     * @throws IbisstandException with CONFIGURATION_INVALID and the path of the first fault
     */
    public byte[] print() {
        return mReader.write(build());
    }
}
