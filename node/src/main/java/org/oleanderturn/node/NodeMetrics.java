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
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;

/**
 * Registers the metrics of a node and renders them in the Prometheus text format.
 *
 * <p>Invariant: each instance has its own registry. Thread safe.
 */
final class NodeMetrics {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final AtomicReference<Runnable> beforeScrape = new AtomicReference<>(() -> {});
    private final Counter requests = Counter.builder()
            .name("oleanderturn_requests_total")
            .help("Callers' requests by outcome and reason.")
            .withoutExemplars()
            .labelNames("outcome", "reason")
            .register(registry);
    private final Histogram latency = Histogram.builder()
            .name("oleanderturn_request_seconds")
            .help("Seconds from a caller's request to the headers of its response.")
            .classicOnly()
            .withoutExemplars()
            .classicUpperBounds(0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
            .register(registry);

    /** Returns the registry, for metrics that are built elsewhere. */
    PrometheusRegistry registry() {
        return registry;
    }

    /** Returns a handler that counts the responses of the given handler and measures their latency. */
    RequestHandler instrumented(RequestHandler handler) {
        return request -> {
            long start = System.nanoTime();
            Response response = handler.handle(request);
            latency.observe((System.nanoTime() - start) / NANOSECONDS_PER_SECOND);
            String outcome =
                    HeaderField.find(response.headers(), ProxyHeaders.OUTCOME).orElse("none");
            String reason =
                    HeaderField.find(response.headers(), ProxyHeaders.REASON).orElse("");
            requests.labelValues(outcome, reason).inc();
            return response;
        };
    }

    /** Sets the action that runs once before each scrape; replaces an earlier one. */
    void beforeEachScrape(Runnable action) {
        beforeScrape.set(Objects.requireNonNull(action, "action is null"));
    }

    /** Adds a gauge whose value is read on each scrape. */
    void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Adds a counter whose value is read on each scrape. */
    void counter(String name, String help, DoubleSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Adds a counter with one label, whose values are read on each scrape. */
    void counters(String name, String help, String label, Supplier<Map<String, Long>> values) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(callback -> values.get().forEach((value, count) -> callback.call(count, value)))
                .register(registry);
    }

    /**
     * Returns every metric in the Prometheus text format.
     *
     * @throws UncheckedIOException when the metrics can't be rendered
     */
    String text() {
        beforeScrape.get().run();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(bytes, registry.scrape());
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
