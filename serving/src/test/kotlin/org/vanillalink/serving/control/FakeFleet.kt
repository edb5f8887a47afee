/*
 * Simulates the runners of a failure domain and their registry in virtual time. Orders take effect as in the published
 * protocol; single runners can die, become unresponsive, lose answers or carry out orders late.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.IKEJA
import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.entry
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.GroupMembership
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry
import kotlin.test.assertTrue

internal class FakeRunner(
    val id: HostId,
    val fabricDomain: String,
    val bornAt: Long,
) {
    var staged: String? = null
    var model: String? = null
    var membership: GroupMembership? = null
    var members: List<HostId> = emptyList()
    var readyAt = 0L
    var openAt: Long? = null
    var isUnresponsive = false

    /** Whether connections to it are refused at once. */
    var isRefusing = false

    /** Until when requests are in flight that it finishes before it has closed. */
    var busyUntil = 0L

    var isDead = false
    var isLeaving = false
    var isUnlisted = false
    var unresponsiveSince = 0L
    var loadingUntil = 0L
    var highestEpoch = 0L

    fun key() = membership?.let { GroupKey(it.group, it.epoch) }

    fun isOpen() = !isDead && membership?.rank == 0 && membership?.state in setOf(MemberState.OPEN, MemberState.CLOSING)
}

internal class FakeFleet(
    runners: Map<String, Int>,
    private val controller: GroupController = GroupController(),
    sizes: Map<String, Int> = mapOf("large" to 4, "small" to 2),
) {
    val runners = LinkedHashMap<HostId, FakeRunner>()
    var now = 0L
    var hasTraffic = false

    var failureDomainCount = 1
    var modelsElsewhere: Set<String> = emptySet()

    /** Slots that callers need, by model. */
    var demand: Map<String, Double> = emptyMap()
    var state = GroupControlState(nextEpoch = 1_000_000)
    val orders = mutableListOf<Pair<HostId, GroupOrder>>()

    /** Whether the whole failure domain is disconnected from the controller and from the registry. */
    var isPartitioned = false
    var partitionedAt = 0L

    /** Whether connections are refused at once while the failure domain is disconnected; otherwise nothing answers. */
    var isRefusedInPartition = false

    /** End of the partition; after it, the registry lists the runners again one by one. */
    var partitionedUntil = 0L

    private var frozenEntries: Map<HostId, TargetEntry>? = null

    /** Entries of runners that are disconnected from the registry only, as they were before. */
    private val staleEntries = HashMap<HostId, TargetEntry>()

    /** Whether the controller has followed the registry for long enough to know removed entries. */
    var keepsRemovedEntries = true
    private val lastListed = HashMap<HostId, TargetEntry>()
    val notes = mutableListOf<String>()
    val violations = mutableListOf<String>()

    /** Orders that cut requests in flight. */
    val cuts = mutableListOf<String>()

    /** Returns the milliseconds by which an unanswered order takes effect late, or null for a usual order. */
    var orderDelay: (HostId, GroupOrder) -> Long? = { _, _ -> null }
    private val scheduled = mutableListOf<Pair<Long, () -> Unit>>()

    val engine =
        EngineDefinition(
            slots = 18,
            models =
                listOf(
                    ModelDefinition("large", sizes.getValue("large"), 0.67, 1.0, 16_000, 1_600),
                    ModelDefinition("small", sizes.getValue("small"), 0.33, 0.6, 12_000, 1_100),
                ),
            stepMilliseconds = 6.0,
            perSequenceMilliseconds = 0.35,
            prefillTokensPerSecond = 46_000.0,
            stepsPerPass = 5,
            loadsPerSecond = 4.0,
            concurrentLoads = 6,
            openMilliseconds = 300,
            stagedModelsPerHost = 1,
        )

    init {
        runners.forEach { (domain, count) -> repeat(count) { add("$domain-$it", domain) } }
    }

    fun add(
        id: String,
        domain: String,
    ): FakeRunner = FakeRunner(HostId(id), domain, now + 1).also { runners[it.id] = it }

    fun view() = DomainView(IKEJA, listed(), removedEntries(), engine, failureDomainCount, hasTraffic, demand)
        .copy(modelsElsewhere = modelsElsewhere)

    /** Advances the virtual time by [milliseconds]. */
    fun run(milliseconds: Long) {
        val end = now + milliseconds
        while (now < end) {
            now += STEP_MILLISECONDS
            scheduled.filter { it.first <= now }.sortedBy { it.first }.forEach { due ->
                scheduled.remove(due)
                due.second()
            }
            runners.values.forEach(::advance)
            process(GroupEvent.Tick(view()))
        }
    }

    /** Runs [action] at [time] of the virtual time. */
    fun at(
        time: Long,
        action: () -> Unit,
    ) {
        scheduled += time to action
    }

    /** Runs until [condition] holds or [timeout] has passed, and returns the elapsed milliseconds. */
    fun runUntil(
        timeout: Long,
        condition: () -> Boolean,
    ): Long {
        val startedAt = now
        while (!condition() && now - startedAt < timeout) run(STEP_MILLISECONDS)
        return now - startedAt
    }

    fun process(event: GroupEvent) {
        val transition = controller.applyEvent(state, event, now)
        state = transition.state
        transition.decisions.forEach { decision ->
            when (decision) {
                is GroupDecision.Send -> send(decision.target, decision.order)
                is GroupDecision.RequestReport -> requestReport(decision.target)
                is GroupDecision.LogEvent -> notes += "$now ${decision.event} ${decision.fields}"
            }
        }
    }

    fun serving(): List<AnnouncedGroup> = controller.servingGroups(state, view())

    fun stopResponding(id: HostId) {
        val runner = runners.getValue(id)
        runner.isUnresponsive = true
        runner.isDead = true
        runner.unresponsiveSince = now
    }

    /** Ends the process of [id]: connections to it are refused at once. */
    fun crash(id: HostId) {
        stopResponding(id)
        runners.getValue(id).isRefusing = true
    }

    /** Makes the member of [key] unresponsive for [milliseconds], while daemons report that the group is stalled. */
    fun stayUnresponsive(
        id: HostId,
        key: GroupKey,
        milliseconds: Long,
    ) {
        val runner = runners.getValue(id)
        runner.isUnresponsive = true
        repeat((milliseconds / SUSPICION_INTERVAL_MILLISECONDS).toInt()) {
            run(SUSPICION_INTERVAL_MILLISECONDS)
            process(GroupEvent.GroupSuspected(key, view()))
        }
        runner.isUnresponsive = false
    }

    /** The log of the groups that are named in violations. */
    fun violationHistory(): String {
        val named = Regex("[a-z]+-[a-z]+-\\d+").findAll(violations.joinToString()).map { it.value }.toSet()
        return notes.filter { note -> named.any { it in note } }.joinToString("\n")
    }

    /** Lets another daemon take control with only a higher epoch. */
    fun takeOver() {
        state = GroupControlState((state.nextEpoch / 1_000_000 + 1) * 1_000_000, hasPredecessor = true)
    }

    /** Makes the registry return its current entries until [thawRegistry]. */
    fun freezeRegistry() {
        frozenEntries = listed()
    }

    /** Keeps the present entry of [id], whatever its runner does, until [reconnect]. */
    fun disconnectFromRegistry(id: HostId) {
        listed()[id]?.let { staleEntries[id] = it }
    }

    /** Announces, in a response and not in its entry, that [id] leaves. */
    fun announceLeaving(id: HostId) {
        runners.getValue(id).isLeaving = true
        staleEntries.computeIfPresent(id) { _, entry -> entry.copy(isLeaving = true) }
    }

    fun reconnect(id: HostId) {
        staleEntries.remove(id)
    }

    fun thawRegistry() {
        frozenEntries = null
    }

    private fun removedEntries(): Map<HostId, TargetEntry> = if (keepsRemovedEntries) {
        lastListed.filterKeys {
            it !in listed()
        }
    } else {
        emptyMap()
    }

    private fun listed(): Map<HostId, TargetEntry> = frozenEntries ?: currentEntries()

    private fun currentEntries(): Map<HostId, TargetEntry> = runners.values
        .filter {
            !isExpired(it) && !it.isUnlisted && (!it.isDead || now - it.unresponsiveSince < EXPIRY_MILLISECONDS)
        }.associate { runner -> runner.id to (staleEntries[runner.id] ?: toEntry(runner)) }
        .also { lastListed.putAll(it) }

    private fun isExpired(runner: FakeRunner): Boolean {
        val relistedAt = partitionedUntil + runners.keys.indexOf(runner.id) * HEARTBEAT_MILLISECONDS / runners.size
        return partitionedUntil - partitionedAt > EXPIRY_MILLISECONDS && now - partitionedAt > EXPIRY_MILLISECONDS &&
            now < relistedAt
    }

    private fun toEntry(runner: FakeRunner): TargetEntry =
        entry(runner.id.value, runner.fabricDomain, runner.bornAt).copy(
            model = runner.model,
            staged = setOfNotNull(runner.staged),
            membership = runner.membership,
            isLeaving = runner.isLeaving,
        )

    private fun advance(runner: FakeRunner) {
        val membership = runner.membership ?: return
        if (membership.state == MemberState.JOINING && now >= runner.readyAt) {
            runner.staged = runner.model
            runner.membership = membership.copy(state = MemberState.READY)
        }
        val openAt = runner.openAt
        if (openAt != null && now >= openAt) {
            runner.membership = runner.membership?.copy(state = MemberState.OPEN)
            runner.openAt = null
        }
        if (membership.state == MemberState.CLOSING && now >= runner.busyUntil) {
            runner.membership = membership.copy(state = MemberState.READY)
        }
    }

    private fun recordCut(
        runner: FakeRunner,
        order: GroupOrder,
    ) {
        if (runner.isOpen() && now < runner.busyUntil) cuts += "$now ${runner.id} $order"
    }

    private fun send(
        target: TargetEntry,
        order: GroupOrder,
    ) {
        orders += target.id to order
        notes += "$now order ${target.id} $order"
        val runner = runners[target.id]
        if (runner == null || runner.isUnresponsive || isPartitioned) {
            scheduled +=
                (now + ANSWER_TIMEOUT_MILLISECONDS) to
                { process(GroupEvent.OrderAnswered(target.id, order, OrderResult.UNKNOWN)) }
            return
        }
        val delay = orderDelay(target.id, order)
        if (delay != null) {
            scheduled += (now + delay) to { apply(runner, order) }
            scheduled +=
                (now + ANSWER_TIMEOUT_MILLISECONDS) to
                { process(GroupEvent.OrderAnswered(target.id, order, OrderResult.UNKNOWN)) }
            return
        }
        scheduled += (now + ROUND_TRIP_MILLISECONDS) to {
            val result = apply(runner, order)
            process(GroupEvent.OrderAnswered(target.id, order, result))
        }
    }

    private fun requestReport(target: TargetEntry) {
        val runner = runners[target.id]
        if (runner?.isRefusing == true || (isPartitioned && isRefusedInPartition)) {
            scheduled += (now + REFUSAL_MILLISECONDS) to {
                val refusal = ReportResult.Unresponsive("connection refused", isRefused = true)
                process(GroupEvent.ReportAnswered(target.id, refusal))
            }
            return
        }
        val isSilent = runner == null || runner.isUnresponsive || isPartitioned
        scheduled += (now + if (isSilent) ANSWER_TIMEOUT_MILLISECONDS else ROUND_TRIP_MILLISECONDS) to {
            val result =
                if (isSilent) {
                    ReportResult.Unresponsive("no answer")
                } else {
                    ReportResult.Answered(
                        report(runner!!),
                    )
                }
            process(GroupEvent.ReportAnswered(target.id, result))
        }
    }

    private fun report(runner: FakeRunner) = GroupReport(
        runner.bornAt,
        runner.model,
        setOfNotNull(runner.staged),
        runner.membership,
        slowdownFactor = 1.0,
        requestsInProgress = if (now < runner.busyUntil) 1 else 0,
    )

    private fun apply(
        runner: FakeRunner,
        order: GroupOrder,
    ): OrderResult {
        if (runner.isUnresponsive) return OrderResult.UNKNOWN
        notes += "$now ${runner.id} takes $order"
        return when (order) {
            is GroupOrder.Join -> join(runner, order)
            is GroupOrder.Open -> open(runner, order)
            is GroupOrder.Close -> close(runner, order)
            is GroupOrder.Leave -> leave(runner, order)
            is GroupOrder.Stage -> stage(runner, order)
        }
    }

    private fun join(
        runner: FakeRunner,
        order: GroupOrder.Join,
    ): OrderResult {
        if (order.key.epoch < runner.highestEpoch) return OrderResult.REFUSED
        if (runner.key() == order.key) return OrderResult.ACCEPTED
        val oldKey = runner.key()
        val openHead = runners.values.firstOrNull { it.isOpen() && it.key() == oldKey }
        recordCut(runner, order)
        if (oldKey != null && openHead != null) violations += "${runner.id} joined ${order.key} while $oldKey was open"
        runner.highestEpoch = order.key.epoch
        val model = engine.models.first { it.name == order.model }
        val duration =
            when {
                runner.model == order.model -> 200
                runner.staged == order.model -> model.stagedLoadMilliseconds
                else -> if (hasTraffic) model.loadMilliseconds else model.loadMilliseconds / 10
            }
        runner.model = order.model
        runner.members = order.members
        runner.readyAt = now + duration
        runner.openAt = null
        val rank = order.members.indexOf(runner.id)
        runner.membership = GroupMembership(order.key.group, order.key.epoch, rank, MemberState.JOINING)
        return OrderResult.ACCEPTED
    }

    private fun open(
        runner: FakeRunner,
        order: GroupOrder.Open,
    ): OrderResult {
        if (runner.key() != order.key) return OrderResult.REFUSED
        val members = runner.members.mapNotNull { runners[it] }
        val areMembersReady =
            members.all {
                it.isDead || (it.key() == order.key && it.membership?.state != MemberState.JOINING)
            }
        if (!areMembersReady) violations += "${order.key} opened before all members were ready"
        if (runner.membership?.state == MemberState.READY) runner.openAt = now + engine.openMilliseconds
        return OrderResult.ACCEPTED
    }

    private fun close(
        runner: FakeRunner,
        order: GroupOrder.Close,
    ): OrderResult {
        if (runner.key() != order.key) return OrderResult.REFUSED
        val state = if (now < runner.busyUntil) MemberState.CLOSING else MemberState.READY
        runner.membership = runner.membership?.copy(state = state)
        return OrderResult.ACCEPTED
    }

    private fun leave(
        runner: FakeRunner,
        order: GroupOrder.Leave,
    ): OrderResult {
        // The order affects no other group, and its answer is that the state already holds.
        if (runner.key() != order.key) return OrderResult.ACCEPTED
        recordCut(runner, order)
        runner.membership = null
        runner.openAt = null
        return OrderResult.ACCEPTED
    }

    private fun stage(
        runner: FakeRunner,
        order: GroupOrder.Stage,
    ): OrderResult {
        val model = engine.models.first { it.name == order.model }
        val duration = if (hasTraffic) model.loadMilliseconds else model.loadMilliseconds / 10
        scheduled += (now + duration) to { runner.staged = order.model }
        return OrderResult.ACCEPTED
    }

    private companion object {
        const val STEP_MILLISECONDS = 50L
        const val ROUND_TRIP_MILLISECONDS = 10L
        const val SUSPICION_INTERVAL_MILLISECONDS = 250L

        /** A refused connection takes less time than a report. */
        const val REFUSAL_MILLISECONDS = 5L
        const val ANSWER_TIMEOUT_MILLISECONDS = 300L

        /** Time until an entry expires: three heartbeats. */
        const val EXPIRY_MILLISECONDS = 3_600L
        const val HEARTBEAT_MILLISECONDS = 1_200L
    }
}

/** A fleet by [domains] whose groups serve. */
internal fun settledFleet(domains: Map<String, Int>): FakeFleet {
    val fleet = FakeFleet(domains)
    fleet.settle()
    return fleet
}

/** Runs until the groups serve, and begins the traffic. */
internal fun FakeFleet.settle() {
    run(12_000)
    hasTraffic = true
    run(1_000)
    orders.clear()
}

internal fun FakeFleet.members(): Set<HostId> = serving().flatMap { it.members }.toSet()

/** Makes the member unresponsive; daemons detect shortly after that its group is stalled. */
internal fun FakeFleet.loseMember(id: HostId) {
    val group = serving().firstOrNull { id in it.members }
    stopResponding(id)
    run(300)
    group?.let { process(GroupEvent.GroupSuspected(it.key, view())) }
}

/** Asserts the published limit on loads that begin, for this failure domain's share of them. */
internal fun assertLoadsWithinLimit(fleet: FakeFleet) {
    val loads = fleet.notes.filter { "model-staging" in it }.map { it.substringBefore(' ').toLong() }
    val most = loads.maxOf { start -> loads.count { it in start until start + 5_000 } }
    assertTrue(most <= fleet.engine.loadsPerSecond / 3 * 5 * 1.1 + 3, "$most loads in five seconds")
}
