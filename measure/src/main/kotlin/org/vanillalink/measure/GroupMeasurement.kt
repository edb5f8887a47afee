/*
 * Group downtime after losses, with and without the platform, and accelerators left outside whole groups.
 *
 * It drives the groups module's own aggregates on virtual time. The small model assumes: reports every 500 ms that
 * arrive at once, orders that arrive at once, a weight load of 10 s, a table that answers in 4 ms or not at all, and a
 * target that has its service's weights changes its place without a load.
 */
package org.vanillalink.measure

import org.vanillalink.groups.ArrivalOrder
import org.vanillalink.groups.BestFit
import org.vanillalink.groups.FirstFit
import org.vanillalink.groups.GroupSettings
import org.vanillalink.model.HostId
import java.time.Duration
import kotlin.random.Random

/** Measures downtime and stranded accelerators against first fit without owned spares; a whole day with [long]. */
class GroupMeasurement(
    private val long: Boolean = false,
) : Measurement {
    override val name: String = "groups"

    override fun run(seed: Long): List<Figure> = listOf(
        downtime("group downtime, one member lost", seed, platformUp = true, ::loseMember),
        downtime(
            "group downtime, one member lost, platform down for 120 s",
            seed,
            platformUp = false,
            ::loseMember,
        ),
        downtime("group downtime, fabric domain dark", seed, platformUp = true, ::loseFabricDomain),
        downtime("group downtime, fabric domain dark, platform down for 120 s", seed, false, ::loseFabricDomain),
    ) + strandedFigures(seed)

    private fun downtime(
        name: String,
        seed: Long,
        platformUp: Boolean,
        lose: (GroupModel, Random) -> Unit,
    ): Figure {
        val ours = downtimeOf(seed, platformUp, ours(), lose)
        val baseline = downtimeOf(seed, platformUp, baseline(), lose)
        return Figure(name, ours, "group seconds", baseline, TARGET.takeIf { lose == ::loseMember })
    }

    private fun downtimeOf(
        seed: Long,
        platformUp: Boolean,
        policy: GroupPolicy,
        lose: (GroupModel, Random) -> Unit,
    ): Double {
        val model = GroupModel(seed, HOSTS_OF_DOWNTIME, GROUPS_OF_DOWNTIME, policy)
        model.run(FORMATION)
        model.platformUp(platformUp)
        model.run(SETTLING)
        model.startCounting()
        lose(model, Random(seed))
        model.run(OUTAGE)
        model.platformUp(true)
        model.run(AFTER_OUTAGE)
        return model.downtimeSeconds
    }

    private fun loseMember(
        model: GroupModel,
        random: Random,
    ) {
        model.kill(model.members().random(random))
    }

    private fun loseFabricDomain(
        model: GroupModel,
        random: Random,
    ) {
        val home = model.fabricDomainOf(model.members().random(random))
        model.hosts().filter { model.fabricDomainOf(it) == home }.forEach { model.kill(it) }
    }

    /** Losses a minute apart, 144 of them in the long form; each lost host stays away for six minutes. */
    private fun strandedFigures(seed: Long): List<Figure> {
        val ours = strandedOf(seed, ours())
        val baseline = strandedOf(seed, baseline())
        return listOf(
            Figure("accelerators stranded outside whole groups, mean", ours.first, "accelerators", baseline.first),
            Figure("whole groups, mean of 12", ours.second, "groups", baseline.second),
        )
    }

    private fun strandedOf(
        seed: Long,
        policy: GroupPolicy,
    ): Pair<Double, Double> {
        val random = Random(seed)
        val model = GroupModel(seed, HOSTS_OF_STRANDED, GROUPS_OF_STRANDED, policy)
        model.run(FORMATION)
        val away = ArrayDeque<List<HostId>>()
        val samples =
            List(if (long) LOSSES else LOSSES_SHORT) {
                val lost = List(random.nextInt(1, LARGEST_LOSS + 1)) { model.hosts().random(random) }
                lost.forEach { model.kill(it) }
                away.addLast(lost)
                if (away.size > STEPS_AWAY) bringBack(model, away.removeFirst() - away.flatten().toSet())
                model.run(STEP)
                model.aliveOutsideWholeGroups().toDouble() to model.wholeGroups().toDouble()
            }
        return samples.map { it.first }.average() to samples.map { it.second }.average()
    }

    private fun bringBack(
        model: GroupModel,
        hosts: List<HostId>,
    ) = hosts.forEach { model.restart(it) }

    private fun ours() = GroupPolicy(GroupSettings(), BestFit())

    private fun baseline() = GroupPolicy(GroupSettings(claimsSparesInAdvance = false), FirstFit(), ArrivalOrder())

    private companion object {
        const val TARGET = "<= 16.5 (4 s detection, 0.5 s report, 2 s order repeat, 10 s load)"
        const val GROUPS_OF_DOWNTIME = 3
        const val GROUPS_OF_STRANDED = 12
        const val LOSSES = 144
        const val LOSSES_SHORT = 24
        const val LARGEST_LOSS = 2
        const val STEPS_AWAY = 6
        val HOSTS_OF_DOWNTIME = listOf(9, 9)
        val HOSTS_OF_STRANDED = listOf(13, 14, 13, 14)
        val FORMATION: Duration = Duration.ofSeconds(300)
        val SETTLING: Duration = Duration.ofSeconds(5)
        val OUTAGE: Duration = Duration.ofSeconds(120)
        val AFTER_OUTAGE: Duration = Duration.ofSeconds(60)
        val STEP: Duration = Duration.ofSeconds(60)
    }
}
