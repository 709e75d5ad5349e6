package org.oleanderturn.proxy;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;

/** Decides whether a connection stays open after a response. Stateless and thread safe. */
final class ConnectionReuse {
    private ConnectionReuse() {}

    static boolean isKeepAlive(HttpResponse response, boolean isDraining) {
        boolean isHttp10OrOlder =
                response.getVersion() != null && response.getVersion().lessEquals(HttpVersion.HTTP_1_0);
        if (isDraining || isHttp10OrOlder) {
            return false;
        }
        Header connection = response.getFirstHeader(HttpHeaders.CONNECTION);
        return connection == null || !connection.getValue().equalsIgnoreCase("close");
    }
}
