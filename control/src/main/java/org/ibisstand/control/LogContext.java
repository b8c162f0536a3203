package org.ibisstand.control;

import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.wire.WireContext;

/**
 * The services that the daemon provides to its log.
 *
 * @param settings the settings of the member
 * @param controlThread the only thread that uses the control state; also runs the timers of the log
 * @param wire the settings and event loops that connections to other members share
 * @param clock the time source
 * @param address the host and port at which other members reach this one
 */
public record LogContext(
        ControlSettings settings,
        ScheduledExecutorService controlThread,
        WireContext wire,
        Clock clock,
        String address) {}
