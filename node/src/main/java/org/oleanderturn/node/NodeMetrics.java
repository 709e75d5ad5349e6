package org.oleanderturn.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleSupplier;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;

/**
 * The metrics of a node.
 *
 * <p>Invariant: each node has a registry of its own. Thread safe.
 */
final class NodeMetrics {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final AtomicReference<Runnable> beforeRead = new AtomicReference<>(() -> {});
    private final Counter requests = Counter.builder()
            .name("oleanderturn_requests_total")
            .help("Callers' requests by outcome and reason.")
            .labelNames("outcome", "reason")
            .register(registry);
    private final Histogram latency = Histogram.builder()
            .name("oleanderturn_request_seconds")
            .help("Seconds from a caller's request to the headers of its answer.")
            .classicOnly()
            .classicUpperBounds(0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
            .register(registry);

    /** Returns the registry, for further metrics of the same node. */
    PrometheusRegistry registry() {
        return registry;
    }

    /** Returns a handler that counts what another one answers. */
    RequestHandler counted(RequestHandler handler) {
        return request -> {
            long begun = System.nanoTime();
            Response answer = handler.handle(request);
            latency.observe((System.nanoTime() - begun) / NANOSECONDS_PER_SECOND);
            String outcome =
                    HeaderField.find(answer.headers(), ProxyHeaders.OUTCOME).orElse("none");
            String reason =
                    HeaderField.find(answer.headers(), ProxyHeaders.REASON).orElse("");
            requests.labelValues(outcome, reason).inc();
            return answer;
        };
    }

    /** Sets what is done before the metrics are read, once for all of them. */
    void beforeEachRead(Runnable action) {
        beforeRead.set(Objects.requireNonNull(action, "action is null"));
    }

    /** Adds a gauge that is read when the metrics are. */
    void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Adds a counter that is read when the metrics are. */
    void counter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns every metric as Prometheus text. */
    String text() {
        beforeRead.get().run();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(bytes, registry.scrape());
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
