/*
 * Whether sending requests with the same prompt prefix to the same targets pays, and how often hot prefixes are held.
 *
 * The model assumes 12 targets of 16 requests at once, each with a cache of 24 prefixes (least recently used goes
 * first), 400 prefixes whose demand follows Zipf's law, a prefill of 60 ms where the prefix is cached and 460 ms where
 * it isn't, then one second of decoding, reports that lag 100 ms and cache events that lag one second.
 */
package org.vanillalink.measure

import org.vanillalink.model.BootId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.ReportedLoad
import org.vanillalink.routing.Router
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterState
import org.vanillalink.routing.TargetCandidate
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant

/** Prefix matching against choosing by load alone. */
class PrefixMeasurement : Measurement {
    override val name: String = "prefix"

    override fun run(seed: Long): List<Figure> {
        val matching = PrefixRun(Scenario(seed), fingerprints = true, cacheEvents = true).apply { run() }
        val affinity = PrefixRun(Scenario(seed), fingerprints = true, cacheEvents = false).apply { run() }
        val byLoad = PrefixRun(Scenario(seed), fingerprints = false, cacheEvents = false).apply { run() }
        return listOf(
            Figure("requests whose prefix was cached", matching.hitShare, "share", byLoad.hitShare),
            Figure("first token, mean", matching.firstTokenMilliseconds, "ms", byLoad.firstTokenMilliseconds),
            Figure("the same without cache events, cached", affinity.hitShare, "share", byLoad.hitShare),
            Figure("the same without cache events, first token", affinity.firstTokenMilliseconds, "ms"),
            Figure("greatest load of a target over the mean", matching.imbalance, "ratio", byLoad.imbalance),
            Figure("targets that hold the hottest prefix", matching.holders(0), "targets", byLoad.holders(0)),
            Figure("targets that hold prefix 10", matching.holders(TENTH), "targets", byLoad.holders(TENTH)),
            Figure("targets that hold prefix 100", matching.holders(HUNDREDTH), "targets", byLoad.holders(HUNDREDTH)),
        )
    }

    private companion object {
        const val TENTH = 9
        const val HUNDREDTH = 99
    }
}

private class PrefixTarget(
    val host: HostId,
) {
    val cache = LinkedHashMap<Long, Unit>()
    var running = 0
    var sequence = 0L

    /** Uses [prefix]; gives whether it was cached, and what was thrown out for it. */
    fun use(prefix: Long): Pair<Boolean, Long?> {
        val hit = cache.remove(prefix) != null
        cache[prefix] = Unit
        if (cache.size <= CACHED_PREFIXES) return hit to null
        val oldest = cache.keys.first()
        cache.remove(oldest)
        return hit to oldest
    }

    private companion object {
        const val CACHED_PREFIXES = 24
    }
}

private class PrefixRun(
    private val scenario: Scenario,
    private val fingerprints: Boolean,
    private val cacheEvents: Boolean,
) {
    private val router = Router()
    private val state = RouterState()
    private val targets = (0 until TARGETS).associate { HostId("h$it") to PrefixTarget(HostId("h$it")) }
    private val prefixes = HashMap<RequestId, Long>()
    private val weights = (1..PREFIXES).runningFold(0.0) { sum, rank -> sum + 1.0 / rank }.drop(1)
    private var requests = 0
    private var hits = 0
    private var firstTokens = 0L
    private var greatest = 0.0

    val hitShare: Double get() = hits.toDouble() / requests
    val firstTokenMilliseconds: Double get() = firstTokens.toDouble() / requests
    val imbalance: Double get() = greatest

    fun holders(rank: Int): Double = targets.values.count { rank.toLong() in it.cache }.toDouble()

    fun run() {
        publish()
        scenario.every(Duration.ofMillis(REPORT_MILLISECONDS)) { publish() }
        scenario.every(Duration.ofMillis(ARRIVAL_MILLISECONDS)) { arrive() }
        scenario.run(Duration.ofSeconds(RUN_SECONDS))
    }

    private fun publish() {
        val loads = targets.values.map { it to it.running }
        val mean = loads.sumOf { it.second }.toDouble() / TARGETS
        if (mean >= 1.0) greatest = maxOf(greatest, loads.maxOf { it.second } / mean)
        val reportedAt = scenario.now
        scenario.after(Duration.ofMillis(LAG_MILLISECONDS)) {
            loads.forEach { (target, load) -> feed(RouterEvent.CandidateUpdated(candidate(target, load, reportedAt))) }
        }
    }

    private fun candidate(
        target: PrefixTarget,
        load: Int,
        reportedAt: Instant,
    ) = TargetCandidate(
        target.host,
        BOOT,
        SERVICE,
        FailureDomainId("ikeja"),
        REQUESTS_AT_ONCE,
        load = ReportedLoad(load, 0, 1.0, reportedAt),
    )

    private fun arrive() {
        val request = RequestId("r${prefixes.size}")
        val prefix = drawPrefix()
        prefixes[request] = prefix
        val given = if (fingerprints) listOf(prefix) else emptyList()
        val deadline = scenario.now.plusSeconds(RUN_SECONDS)
        val workspace = WorkspaceId("w")
        feed(RouterEvent.RequestArrived(request, SERVICE, workspace, deadline, prefixFingerprints = given))
    }

    private fun drawPrefix(): Long {
        val drawn = scenario.random.nextDouble() * weights.last()
        val found = weights.binarySearch(drawn)
        return (if (found < 0) -found - 1 else found).toLong()
    }

    private fun feed(event: RouterEvent) {
        router.handle(state, event, scenario.now).decisions.forEach { decision ->
            if (decision is RouterDecision.StartAttempt) start(decision)
        }
    }

    private fun start(decision: RouterDecision.StartAttempt) {
        val target = targets.getValue(decision.host)
        val prefix = prefixes.getValue(decision.request)
        val (hit, thrownOut) = target.use(prefix)
        val prefill = if (hit) CACHED_PREFILL_MILLISECONDS else PREFILL_MILLISECONDS
        requests += 1
        if (hit) hits += 1
        firstTokens += prefill
        target.running += 1
        val time = Duration.ofMillis(prefill + DECODE_MILLISECONDS)
        scenario.after(time) {
            target.running -= 1
            feed(RouterEvent.AttemptFinished(decision.request, decision.attempt, time))
        }
        if (cacheEvents) tellCache(target, prefix, thrownOut)
    }

    private fun tellCache(
        target: PrefixTarget,
        prefix: Long,
        thrownOut: Long?,
    ) {
        target.sequence += 1
        val event =
            RouterEvent.CacheEventsReceived(
                target.host,
                BOOT,
                target.sequence,
                listOf(prefix),
                listOfNotNull(thrownOut),
            )
        scenario.after(Duration.ofMillis(CACHE_LAG_MILLISECONDS)) { feed(event) }
    }

    private companion object {
        const val TARGETS = 12
        const val PREFIXES = 400
        const val REQUESTS_AT_ONCE = 16
        const val REPORT_MILLISECONDS = 500L
        const val LAG_MILLISECONDS = 100L
        const val CACHE_LAG_MILLISECONDS = 1_000L
        const val ARRIVAL_MILLISECONDS = 11L
        const val RUN_SECONDS = 120L
        const val CACHED_PREFILL_MILLISECONDS = 60L
        const val PREFILL_MILLISECONDS = 460L
        const val DECODE_MILLISECONDS = 1_000L
        val SERVICE = ServiceName("brief-writer")
        val BOOT = BootId("b")
    }
}
