package org.oleanderturn.proxy;

import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.oleanderturn.model.Address;

/** Converts outbound requests to HttpCore messages. Stateless and thread safe. */
final class OutboundMessage {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private OutboundMessage() {}

    static BasicClassicHttpRequest of(Address peer, OutboundRequest request) {
        BasicClassicHttpRequest message = new BasicClassicHttpRequest(request.method(), request.path());
        for (HeaderField header : request.headers()) {
            if (!isHopByHop(header.name())) {
                message.addHeader(header.name(), header.value());
            }
        }
        if (!message.containsHeader(HttpHeaders.HOST)) {
            message.setHeader(HttpHeaders.HOST, peer);
        }
        if (request.isContinueExpected()) {
            message.setHeader(HttpHeaders.EXPECT, "100-continue");
        }
        setBody(message, request);
        return message;
    }

    /**
     * Sets the body. An empty body that waits for 100 (Continue) is sent in chunked encoding: the receiver then sees
     * the end of the request only after the sender has written the last chunk, not already after the headers.
     */
    private static void setBody(BasicClassicHttpRequest message, OutboundRequest request) {
        if (request.body().length > 0) {
            message.setEntity(new ByteArrayEntity(request.body(), null));
            message.setHeader(HttpHeaders.CONTENT_LENGTH, request.body().length);
        } else if (request.isContinueExpected()) {
            message.setEntity(new ByteArrayEntity(request.body(), null, true));
            message.setHeader(HttpHeaders.TRANSFER_ENCODING, HeaderElements.CHUNKED_ENCODING);
        }
    }

    /** Returns whether a header applies to one connection only and must not be forwarded. */
    static boolean isHopByHop(String name) {
        return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }
}
