package org.ibisstand.control;

import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.wire.WireContext;

/**
 * What a log may use of the daemon that it runs in.
 *
 * @param settings the settings of the member
 * @param controlThread the one thread of control state; a log runs its timers on it
 * @param wire what connections to other members share
 * @param clock the time source
 * @param address host and port that other members reach this one at
 */
public record LogContext(
        ControlSettings settings,
        ScheduledExecutorService controlThread,
        WireContext wire,
        Clock clock,
        String address) {}
