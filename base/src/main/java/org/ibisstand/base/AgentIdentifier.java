package org.ibisstand.base;

/**
 * Names one agent; the name stays the same over restarts.
 *
 * @param value 1 to 64 characters from the settings of the agent
 */
public record AgentIdentifier(String value) implements Comparable<AgentIdentifier> {
    @Override
    public int compareTo(AgentIdentifier other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
