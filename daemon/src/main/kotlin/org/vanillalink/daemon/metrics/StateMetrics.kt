/*
 * Metrics of what the daemon knows: groups, targets, configuration, control, peers and queues. They are refreshed on
 * the control thread, so that a scrape never reads control state from another thread.
 */
package org.vanillalink.daemon.metrics

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import org.vanillalink.configuration.ServiceKind
import org.vanillalink.control.DaemonControl
import org.vanillalink.membership.PeerStatus
import org.vanillalink.model.HostRole
import org.vanillalink.model.HostStatus
import java.time.Duration
import java.time.Instant

/** Keeps gauges in [registry]; [isReachable] tells whether the platform answered the last call. */
class StateMetrics(
    private val registry: MeterRegistry,
    private val isReachable: () -> Boolean,
) {
    private val gauges = mutableMapOf<String, MultiGauge>()
    private var refreshedAt: Instant? = null

    /** Takes over what [control] knows at [now]; only on the control thread. */
    fun refresh(
        control: DaemonControl,
        now: Instant,
    ) {
        groups(control, now)
        targets(control)
        configuration(control, now)
        peers(control)
        queues(control)
        refreshedAt = now
    }

    private fun groups(
        control: DaemonControl,
        now: Instant,
    ) {
        val models = control.configuration.services.filterValues { it.kind == ServiceKind.MODEL }
        val serving = models.keys.associateWith { control.servingState.servingGroups(it).size }
        set("vanillalink.groups.desired", "service", models.mapKeys { it.key.value }) { it.groupsPerFailureDomain }
        set("vanillalink.groups.serving", "service", serving.mapKeys { it.key.value }) { it }
        if (control.domainState.heldFencingNumber == null) return
        val seconds = secondsSinceRefresh(now)
        models.forEach { (service, settings) ->
            val missing = maxOf(0, settings.groupsPerFailureDomain - serving.getValue(service))
            registry
                .counter(
                    "vanillalink.group.downtime.seconds",
                    "service",
                    service.value,
                ).increment(missing * seconds)
        }
    }

    private fun secondsSinceRefresh(now: Instant): Double {
        val before = refreshedAt ?: return 0.0
        return Duration.between(before, now).toMillis() / MILLISECONDS_PER_SECOND
    }

    private fun targets(control: DaemonControl) {
        val domain = control.membershipState.identity.failureDomain
        val reports = control.servingState.reports.byHost
        val own = control.listedHosts.filter { it.failureDomain == domain }
        val working =
            control.configuration.services.keys
                .flatMap { control.servingState.servingGroups(it) }
                .flatMap { it.members }
                .toSet()
        val engines = own.filter { it.role == HostRole.MODEL_ENGINE && it.status == HostStatus.LIVE }
        val stranded = engines.filter { it.id !in working }.sumOf { it.accelerators }
        set("vanillalink.accelerators.listed", engines.sumOf { it.accelerators })
        set("vanillalink.accelerators.stranded", stranded)
        set("vanillalink.targets.cold", own.count { reports[it.id]?.report?.cold == true })
    }

    private fun configuration(
        control: DaemonControl,
        now: Instant,
    ) {
        val state = control.replicaState
        set("vanillalink.configuration.revision", state.revision ?: 0)
        set("vanillalink.configuration.age.seconds", ageSeconds(state.age(now)))
        set("vanillalink.platform.reachable", flag(isReachable()))
        set("vanillalink.control.held", flag(control.domainState.heldFencingNumber != null))
    }

    private fun ageSeconds(age: Duration?): Double = age?.let { it.toMillis() / MILLISECONDS_PER_SECOND } ?: Double.NaN

    private fun peers(control: DaemonControl) {
        val peers = control.membershipState.peers.values
        val counts =
            PeerStatus.entries.associate { status ->
                status.name.lowercase() to
                    peers.count { it.status == status }
            }
        set("vanillalink.peers", "status", counts) { it }
    }

    private fun queues(control: DaemonControl) {
        val services =
            control.configuration.services.keys
                .associateBy { it.value }
        set("vanillalink.queue.length", "service", services) { control.routerState.queueLength(it) }
        set("vanillalink.requests.free", "service", services) { control.routerState.freeRequests(it) }
    }

    private fun flag(value: Boolean): Int = if (value) 1 else 0

    private fun set(
        name: String,
        value: Number,
    ) = gauge(name).register(listOf(MultiGauge.Row.of(Tags.empty(), value)), true)

    private fun <T> set(
        name: String,
        label: String,
        values: Map<String, T>,
        number: (T) -> Number,
    ) = gauge(name).register(values.map { MultiGauge.Row.of(Tags.of(label, it.key), number(it.value)) }, true)

    private fun gauge(name: String): MultiGauge = gauges.getOrPut(name) { MultiGauge.builder(name).register(registry) }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
