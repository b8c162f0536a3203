package org.ibisstand.command;

import java.nio.file.Path;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.control.ControlDaemon;
import org.ibisstand.control.LogMember;
import org.ibisstand.control.SingleMemberLog;
import org.ibisstand.fakes.FakeEngine;
import org.ibisstand.fakes.FakeEngineOptions;
import org.ibisstand.fakes.FakeService;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.SettingsReader;

/** Starts the daemons and the stand-ins. */
final class Daemons {
    private Daemons() {}

    /**
     * Starts a daemon.
     *
     * @param kind which daemon
     * @param file its settings
     * @throws IbisstandException if the settings are wrong or the daemon cannot start
     */
    static AutoCloseable start(SettingsKind kind, Path file) {
        byte[] json = SettingsReader.readFile(file);
        SettingsReader reader = SettingsReader.create();
        return switch (kind) {
            case CONTROL -> startControl(reader.readControl(json));
            default ->
                    throw new IbisstandException(
                            ErrorCode.USAGE, kind.label() + " is not part of this build");
        };
    }

    private static AutoCloseable startControl(ControlSettings settings) {
        LogConfiguration.nameProcess(settings.member());
        return ControlDaemon.start(
                settings,
                (machine, context) ->
                        SingleMemberLog.create(
                                machine,
                                new LogMember(settings.member(), context.address(), true)));
    }

    /** Starts a stand-in for a model engine. */
    static AutoCloseable startFakeEngine(FakeEngineOptions options) {
        LogConfiguration.nameProcess("fake-engine-" + options.port());
        FakeEngine engine = FakeEngine.start(options, MonotonicClock.start());
        LogLine.info("fake_engine_started").with("port", engine.port()).write();
        return engine;
    }

    /** Starts a stand-in for a plain service. */
    static AutoCloseable startFakeService(String host, int port) {
        LogConfiguration.nameProcess("fake-service-" + port);
        FakeService service = FakeService.start(host, port);
        LogLine.info("fake_service_started").with("port", service.port()).write();
        return service;
    }
}
