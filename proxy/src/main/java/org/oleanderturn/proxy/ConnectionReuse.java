package org.oleanderturn.proxy;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;

/** Says whether a connection serves another request. */
final class ConnectionReuse {
    private ConnectionReuse() {}

    static boolean isKept(HttpResponse response, boolean isDraining) {
        if (isDraining) {
            return false;
        }
        Header connection = response.getFirstHeader(HttpHeaders.CONNECTION);
        return connection == null || !connection.getValue().equalsIgnoreCase("close");
    }
}
