package org.ibisstand.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/**
 * Where a process can be reached; in JSON a text of the form {@code host:port}.
 *
 * @param host an IP number or a host name
 * @param port a TCP port, 0 to 65535
 */
public record Address(String host, int port) {
    private static final int GREATEST_PORT = 65535;

    /**
     * Reads an address.
     *
     * @param text host and port with a colon between them; an IPv6 number stands in brackets
     * @throws IbisstandException with SETTINGS_INVALID if the text is no address
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw invalid(text);
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        int port = parsePort(text, text.substring(colon + 1));
        if (!TextForm.HOST.matches(host)) {
            throw invalid(text);
        }
        return new Address(host, port);
    }

    @Override
    @JsonValue
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }

    private static int parsePort(String text, String port) {
        try {
            int value = Integer.parseInt(port);
            if (value >= 0 && value <= GREATEST_PORT) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw invalid(text);
        }
        throw invalid(text);
    }

    private static IbisstandException invalid(String text) {
        return new IbisstandException(
                ErrorCode.SETTINGS_INVALID,
                "'" + text + "' is no address; needed is host:port with a port of 0 to 65535");
    }
}
