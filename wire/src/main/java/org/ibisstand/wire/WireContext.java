package org.ibisstand.wire;

import io.netty.channel.EventLoopGroup;
import java.util.random.RandomGenerator;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.wire.message.Hello;

/**
 * What all connections of one process share.
 *
 * @param group the event loops that carry the connections
 * @param settings the bounds of every connection
 * @param process the name of this process
 * @param role the kind of this process: entry, agent or control
 * @param boot names this run of the process
 * @param random spreads reconnections over time; must be safe for several threads
 */
public record WireContext(
        EventLoopGroup group,
        WireSettings settings,
        String process,
        String role,
        BootIdentifier boot,
        RandomGenerator random) {
    Hello hello() {
        return Hello.newBuilder().setProcess(process).setRole(role).setBoot(boot.value()).build();
    }
}
