/*
 * A target with its proxy, which crashes, leaves and comes back.
 */
package org.vanillalink.soak.targets

import io.netty.channel.EventLoopGroup
import org.vanillalink.model.Endpoint
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.GroupEvent
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.record.Run
import org.vanillalink.standins.rows.RowStore
import org.vanillalink.standins.runner.FakeRunner
import org.vanillalink.standins.runner.GroupIdentity
import org.vanillalink.standins.runner.GroupMemberships
import org.vanillalink.standins.runner.RequestedAnswer
import org.vanillalink.standins.runner.RunnerSettings
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.NettyEventLoops

/** What a target runs on. */
internal class TargetHost(
    val loops: NettyEventLoops,
    val proxyLoops: EventLoopGroup,
    val store: RowStore,
    val recorder: Recorder,
    val slots: Int,
    val memberships: GroupMemberships = GroupMemberships(),
)

/** A target whose registry entry names its proxy on [listen]; the target itself listens on [behind]. */
internal class SoakTarget(
    private val host: TargetHost,
    val name: String,
    private val service: String,
    val failureDomain: String,
    private val fabricDomain: String?,
    private val listen: Endpoint,
    private val behind: Endpoint,
    chooser: FaultChooser,
) {
    private val proxy = FaultProxy(host.proxyLoops, listen, behind, name, chooser, host.recorder)
    private var runner: FakeRunner? = null
    private var isUp = false

    /** Called on a thread of the target when a request has crashed it. */
    @Volatile
    var onCrashedByRequest: () -> Unit = {}

    /** Whether the target takes part in groups. */
    val isOfModel: Boolean get() = fabricDomain != null

    /** Starts it unless it runs. */
    @Synchronized
    fun start() {
        if (isUp) return
        isUp = true
        proxy.start()
        val settings = RunnerSettings(name, service, failureDomain, fabricDomain, "$listen", slots = host.slots)
        runner =
            FakeRunner(host.loops, behind, settings, host.store, host.memberships) {
                host.recorder.add(GroupEvent(name, host.recorder.now(), it))
            }.also {
                it.handler.onExecuted = ::recordRun
                it.handler.onBroken = ::recordBreak
            }
    }

    private fun recordRun(
        request: HttpRequestMessage,
        group: GroupIdentity?,
    ) {
        host.recorder.add(
            Run(
                request.headers["request-id"].orEmpty(),
                name,
                host.recorder.now(),
                request.method,
                request.target,
                request.body.contentHashCode(),
                request.headers["last-event-id"]?.toIntOrNull(),
                group,
            ),
        )
        if (request.body.decodeToString() == RequestedAnswer.DEADLY_BODY) onCrashedByRequest()
    }

    private fun recordBreak(requestId: String) {
        host.recorder.add(InjectedFault(FaultKind.GROUP_BROKEN, host.recorder.now(), name, requestId))
    }

    /** Whether the head of its group has streams under way, for which a member that drains remains. */
    fun hasWorkInGroup(): Boolean = runner?.hasWorkInGroup() == true

    /** Lets nothing pass until [untilMs]. */
    fun silence(untilMs: Long) {
        proxy.silentUntilMs = untilMs
    }

    /** Ends without a word; the entry goes when the store has missed its heartbeats. */
    @Synchronized
    fun crash() {
        if (!isUp) return
        isUp = false
        host.recorder.add(InjectedFault(FaultKind.TARGET_CRASH, host.recorder.now(), name, null))
        proxy.reset()
        runner?.kill()
    }

    fun startDraining() {
        host.recorder.add(InjectedFault(FaultKind.TARGET_DRAINS, host.recorder.now(), name, null))
        runner?.startDraining()
    }

    /** Ends after it has drained. */
    @Synchronized
    fun leave() {
        if (!isUp) return
        isUp = false
        expire()
        proxy.stopListening()
        runner?.kill()
    }

    fun expire() {
        runner?.expireEntry()
    }
}
