package org.orioleferry.daemon

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.orioleferry.core.event.EventType

/** The metrics of this process in Prometheus' text format. */
internal class Metrics {
    private val registry =
        PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also {
            JvmMemoryMetrics().bindTo(it)
            ProcessorMetrics().bindTo(it)
        }

    /** Counts one event. */
    fun count(type: EventType) {
        registry.counter("orioleferry.events", "number", type.number.toString(), "name", type.name).increment()
    }

    /** Registers a gauge that reads [value] at each scrape. */
    fun gauge(
        name: String,
        value: () -> Double,
    ) {
        Gauge
            .builder(name) { value() }
            .register(registry)
    }

    /** All metrics as text. */
    fun scrape(): String = registry.scrape()
}
