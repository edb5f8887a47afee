/*
 * What a daemon tells its peers of itself, and how often.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.HostId

/** The word of [own], who hears of its peers what [board] says and has control of [controlled]. */
class OwnWord(
    private val own: OwnState,
    private val board: PeerBoard,
    private val controlled: List<ControlledDomain>,
    failureDomains: Int,
    private val now: Long,
) {
    private val hasControlInside = controlled.any { it.failureDomain == own.failureDomain }
    private val speaksForDomain = board.isSpeaker(own, hasControlInside, now)
    private val part =
        HeartbeatPart(
            isSpeaker = speaksForDomain || controlled.isNotEmpty(),
            daemonsInside = board.inside(own.failureDomain, now).size + 1,
            failureDomains = failureDomains,
        )

    /** Milliseconds between messages to peers in this daemon's failure domain, or in others. */
    fun period(isInside: Boolean): Long =
        if (isInside) HeartbeatSchedule.inside(part) else HeartbeatSchedule.outside(part)

    /** The requests by target that peers inside, or elsewhere, are told of; [counts] are this daemon's own. */
    fun inFlight(
        isInside: Boolean,
        counts: Map<HostId, Int>,
    ): Map<HostId, Int> = told(isInside, counts, PeerMessage::inFlight, Int::plus)

    /** The places asked for by model that peers inside, or elsewhere, are told of; [places] are this daemon's own. */
    fun demand(
        isInside: Boolean,
        places: Map<String, Double>,
    ): Map<String, Double> = told(isInside, places, PeerMessage::demand, Double::plus)

    private fun <K, V : Any> told(
        isInside: Boolean,
        own: Map<K, V>,
        ofPeer: (PeerMessage) -> Map<K, V>,
        plus: (V, V) -> V,
    ): Map<K, V> {
        if (isInside) return own
        if (!speaksForDomain) return emptyMap()
        val sum = HashMap(own)
        board.inside(this.own.failureDomain, now).forEach { peer ->
            ofPeer(peer).forEach { (key, value) -> sum.merge(key, value, plus) }
        }
        return sum
    }

    /** The groups that this daemon controls; [withGroups] is false for peers that were told of them before. */
    fun controlled(withGroups: Boolean): List<ControlledDomain> =
        if (withGroups) controlled else controlled.map { it.copy(groups = null, isSameAsBefore = true) }
}
