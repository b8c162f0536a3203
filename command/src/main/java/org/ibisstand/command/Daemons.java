package org.ibisstand.command;

import java.nio.file.Path;
import org.ibisstand.agent.AgentDaemon;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.control.ControlDaemon;
import org.ibisstand.control.ReplicatedLog;
import org.ibisstand.entry.EntryDaemon;
import org.ibisstand.fakes.FakeEngine;
import org.ibisstand.fakes.FakeEngineOptions;
import org.ibisstand.fakes.FakeService;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.EntrySettings;
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
            case ENTRY -> startEntry(reader.readEntry(json));
            case AGENT -> startAgent(reader.readAgent(json));
            case CONTROL -> startControl(reader.readControl(json));
            case CONFIGURATION ->
                    throw new IbisstandException(
                            ErrorCode.USAGE, "a configuration is applied, not started");
        };
    }

    private static AutoCloseable startEntry(EntrySettings settings) {
        LogConfiguration.nameProcess(settings.process());
        return EntryDaemon.start(settings);
    }

    private static AutoCloseable startAgent(AgentSettings settings) {
        LogConfiguration.nameProcess(settings.agent());
        return AgentDaemon.start(settings);
    }

    private static AutoCloseable startControl(ControlSettings settings) {
        LogConfiguration.nameProcess(settings.member());
        return ControlDaemon.start(settings, ReplicatedLog::open);
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
