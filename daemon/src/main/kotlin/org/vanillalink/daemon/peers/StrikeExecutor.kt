/*
 * Tells other daemons at once of requests that ran on a lost target.
 */
package org.vanillalink.daemon.peers

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.daemon.control.DecisionExecutor
import org.vanillalink.dispatch.poison.PoisonDecision
import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.dispatch.poison.Strike
import org.vanillalink.dispatch.poison.TargetInstance
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.model.BootId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import java.time.Instant

/** One strike in `POST /peer/strikes`. */
data class StrikeMessage(
    val fingerprint: String,
    val host: String,
    val boot: String,
    val epochMilliseconds: Long,
)

/** `POST /peer/strikes`. */
data class StrikesMessage(
    val strikes: List<StrikeMessage>,
)

/** Answer to [StrikesMessage]: how many were [taken]. */
data class StrikesAnswer(
    val taken: Int,
)

/** [peers] gives where the known daemons take messages; a lost message is made good by gossip. */
class StrikeExecutor(
    private val loop: ControlLoop,
    private val client: PeerClient,
    private val peers: () -> Collection<Endpoint>,
) : DecisionExecutor {
    /** Takes a peer's [message]; from any thread. */
    fun receive(message: StrikesMessage): StrikesAnswer {
        val strikes = message.strikes.map(::strikeOf).toSet()
        loop.tell(DaemonEvent.ForPoison(PoisonEvent.StrikesReceived(strikes)))
        return StrikesAnswer(strikes.size)
    }

    override fun execute(decision: DaemonDecision) {
        val wanted = (decision as? DaemonDecision.ForPoison)?.decision as? PoisonDecision.SendStrikes ?: return
        val message = StrikesMessage(wanted.strikes.map(::messageOf))
        peers().forEach { client.post(it, PeerProtocol.STRIKES_PATH, message, StrikesAnswer::class.java) }
    }

    private fun messageOf(strike: Strike) = StrikeMessage(
        strike.fingerprint.value,
        strike.loss.host.value,
        strike.loss.boot.value,
        strike.at.toEpochMilli(),
    )

    private fun strikeOf(message: StrikeMessage) = Strike(
        CallFingerprint(message.fingerprint),
        TargetInstance(HostId(message.host), BootId(message.boot)),
        Instant.ofEpochMilli(message.epochMilliseconds),
    )
}
