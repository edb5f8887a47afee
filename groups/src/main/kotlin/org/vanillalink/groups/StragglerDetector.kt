/*
 * Detection of members that are far slower than the others of their service. A group is as slow as its slowest member.
 */
package org.vanillalink.groups

import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import java.time.Instant

/** Compares members' reported tokens per second with the median over their service. */
internal class StragglerDetector(
    private val settings: GroupSettings,
) {
    /** Returns the slowest member of each group with one below the threshold; idle members (0 tokens) are ignored. */
    fun find(
        descriptions: Collection<GroupDescription>,
        reports: LatestReports,
        now: Instant,
    ): Map<GroupId, HostId> = descriptions
        .groupBy { it.service }
        .values
        .flatMap { findInService(it, reports, now) }
        .toMap()

    private fun findInService(
        descriptions: List<GroupDescription>,
        reports: LatestReports,
        now: Instant,
    ): List<Pair<GroupId, HostId>> {
        val members = descriptions.flatMap { it.members }
        val speeds = members.associateWith { tokensPerSecond(it, reports, now) }.filterValues { it > 0.0 }
        if (speeds.size < MIN_COMPARED_MEMBERS) return emptyList()
        val threshold = median(speeds.values) * settings.stragglerFraction
        return descriptions.mapNotNull { description ->
            val slowest = description.members.filter { it in speeds }.minByOrNull { speeds.getValue(it) }
            slowest?.takeIf { speeds.getValue(it) < threshold }?.let { description.group to it }
        }
    }

    private fun tokensPerSecond(
        host: HostId,
        reports: LatestReports,
        now: Instant,
    ): Double = reports.freshReport(host, now, settings.maxReportAge)?.tokensPerSecond ?: 0.0

    private fun median(values: Collection<Double>): Double = values.sorted()[values.size / 2]

    private companion object {
        const val MIN_COMPARED_MEMBERS = 3
    }
}
