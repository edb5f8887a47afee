/*
 * Finds members that are far slower than their service's others. A group is as slow as its slowest member.
 */
package org.vanillalink.groups

import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import java.time.Instant

/** Compares members' reported tokens per second with the median over their service. */
internal class Stragglers(
    private val settings: GroupSettings,
) {
    /** The slowest member of each group that has one under the threshold. Idle members (0 tokens) don't count. */
    fun find(
        descriptions: Collection<GroupDescription>,
        reports: ReportBook,
        now: Instant,
    ): Map<GroupId, HostId> = descriptions
        .groupBy { it.service }
        .values
        .flatMap { ofOneService(it, reports, now) }
        .toMap()

    private fun ofOneService(
        descriptions: List<GroupDescription>,
        reports: ReportBook,
        now: Instant,
    ): List<Pair<GroupId, HostId>> {
        val members = descriptions.flatMap { it.members }
        val speeds = members.associateWith { speedOf(it, reports, now) }.filterValues { it > 0.0 }
        if (speeds.size < FEWEST_COMPARED) return emptyList()
        val threshold = median(speeds.values) * settings.stragglerFraction
        return descriptions.mapNotNull { description ->
            val slowest = description.members.filter { it in speeds }.minByOrNull { speeds.getValue(it) }
            slowest?.takeIf { speeds.getValue(it) < threshold }?.let { description.group to it }
        }
    }

    private fun speedOf(
        host: HostId,
        reports: ReportBook,
        now: Instant,
    ): Double = reports.fresh(host, now, settings.reportFresh)?.tokensPerSecond ?: 0.0

    private fun median(values: Collection<Double>): Double = values.sorted()[values.size / 2]

    private companion object {
        const val FEWEST_COMPARED = 3
    }
}
