/*
 * The interface between the control loop and the traffic threads.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.traffic.TrafficView
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.balancing.ReportedProgress
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance

/** State of the traffic threads that the control loop reads, and the view that it publishes. Thread-safe. */
interface TrafficSummary {
    /** When the traffic thread last ran, on the steady clock; it receives peers' messages and all responses. */
    val lastRanAt: Long

    /** How late the traffic thread was within the last one to two seconds, or is now, in milliseconds. */
    fun recentDelay(): Long

    /** Requests in progress at each target. */
    fun inFlight(): Map<HostId, Int>

    /** The slot demand of callers of this daemon, by model or plain service. */
    fun demand(): Map<String, Double>

    /** Groups whose responses are stalled at this daemon. */
    fun suspects(): Set<GroupKey>

    /** Which groups stand or move again, as this daemon sees it; [includesHeard] adds what peers nearby report. */
    fun progress(includesHeard: Boolean): List<ReportedProgress>

    /** Changes when peers need [progress] at once. */
    val progressVersion: Long

    /** Targets that recently announced to this daemon that they leave. */
    fun leavingTargets(): Set<TargetInstance>

    /** The limits that targets have named in answers to this daemon. */
    fun limits(): List<ReportedLimit>

    /** Changes with [limits]. */
    val limitsVersion: Long

    /** Whether this daemon has received any request. */
    fun hasTraffic(): Boolean

    /** Replaces the view that requests are routed by. */
    fun publish(view: TrafficView)
}
