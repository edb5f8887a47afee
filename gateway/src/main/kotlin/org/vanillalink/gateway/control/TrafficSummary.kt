/*
 * The traffic side as the control loop needs it.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.traffic.TrafficView
import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance

/** What the control loop reads of the traffic side; safe from any thread. */
interface TrafficSummary {
    /** Requests under way by target, and groups that stand still. */
    fun inFlight(): Map<HostId, Int>

    /** The places that callers of this daemon ask for at once, by model. */
    fun demand(): Map<String, Double>

    /** Groups whose answers stand still here. */
    fun suspects(): Set<GroupKey>

    /** Targets that have lately told this daemon that they leave. */
    fun leavingTargets(): Set<TargetInstance>

    /** Whether a request has ever come. */
    fun hasTraffic(): Boolean

    /** Takes the new picture. */
    fun publish(view: TrafficView)
}
