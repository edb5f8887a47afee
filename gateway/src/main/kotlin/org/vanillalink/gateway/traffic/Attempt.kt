/*
 * One sending of a request to a target.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.transport.OutgoingExchange

/** Sent to [target], the head of [group] if there is one. */
internal class Attempt(
    val target: TargetEntry,
    val group: GroupKey?,
    val evidence: AttemptEvidence,
    /** What was expected when it was sent, or null where nothing is known. */
    val forecast: AttemptForecast? = null,
) {
    /** Null until the request has been passed to the client. */
    var exchange: OutgoingExchange? = null

    /** Why this attempt was begun beside another one, or null. */
    var hedgeReason: String? = null

    /** Whether the target was suspected while no other one could take the request. */
    var isSuspected = false
}
