/*
 * The state under one event, with the decisions taken so far.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class GroupWork(
    var state: GroupControlState,
    val settings: GroupControlSettings,
    val now: Long,
) {
    val decisions = mutableListOf<GroupDecision>()

    fun send(
        target: TargetEntry,
        order: GroupOrder,
    ) {
        decisions += GroupDecision.Send(target, order)
    }

    fun ask(target: TargetEntry) {
        state = state.copy(askedAt = state.askedAt + (target.id to now))
        decisions += GroupDecision.AskReport(target)
    }

    fun note(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        decisions += GroupDecision.Note(event, fields.toMap())
    }

    fun nextEpoch(): Long {
        val epoch = state.nextEpoch
        state = state.copy(nextEpoch = epoch + 1)
        return epoch
    }

    /** The members of [key] as last seen by a tick. */
    fun members(key: GroupKey): List<TargetEntry> = state.formations[key]?.members ?: state.rosters[key]
        ?.members
        ?.values
        ?.toList()
        .orEmpty()

    fun dissolve(
        key: GroupKey,
        head: TargetEntry,
        reason: String,
        isGentle: Boolean,
    ) {
        if (key in state.dissolutions || key in state.dissolved) return
        note("group-dissolving", "group" to key.group, "epoch" to key.epoch, "reason" to reason, "gentle" to isGentle)
        val model = state.formations[key]?.model ?: head.model.takeIf { head.membership?.key == key }
        val members = members(key).map { it.id }.toSet()
        val dissolution = Dissolution(key, head, members, reason, now, isGentle, model = model)
        state = state.copy(dissolutions = state.dissolutions + (key to dissolution))
    }

    /**
     * The head of [key] serves no more. Where orders of the group may still be carried out late, it is first told to
     * join a standby group, whose greater epoch has them refused; or else it could open the group once more.
     */
    fun left(key: GroupKey) {
        val dissolution = state.dissolutions[key]
        if (dissolution == null || !mayReopen(key) || dissolution.model == null) {
            dissolved(key)
            return
        }
        if (dissolution.fence != null && now - dissolution.fencedAt < settings.resendMilliseconds) return
        val head = dissolution.head
        val epoch = nextEpoch()
        val fence = StandbyGroups.key(head.failureDomain, epoch)
        send(head, GroupOrder.Join(fence, dissolution.model, listOf(head.id)))
        val fenced = dissolution.copy(fence = fence, fencedAt = now)
        state = state.copy(dissolutions = state.dissolutions + (key to fenced))
    }

    /** Whether orders of [key] may still be carried out, so that its head could open it once more. */
    fun mayReopen(key: GroupKey): Boolean =
        key in state.unsettled || (state.hasPredecessor && key.epoch < state.firstEpoch)

    /** Nothing of [key] can serve again; its members may be used elsewhere. */
    fun dissolved(key: GroupKey) {
        val after = state.dissolutions[key]?.let { now - it.startedAt }
        note("group-dissolved", "group" to key.group, "epoch" to key.epoch, "afterMs" to after)
        state = state.copy(dissolutions = state.dissolutions - key, dissolved = state.dissolved + (key to now))
    }

    fun update(formation: Formation) {
        state = state.copy(formations = state.formations + (formation.key to formation))
    }

    /** Gives up an opened formation and takes its group apart. */
    fun abandon(
        formation: Formation,
        reason: String,
    ) {
        dissolve(formation.key, formation.head, reason, isGentle = false)
        drop(formation)
    }

    fun drop(formation: Formation) {
        state = state.copy(formations = state.formations - formation.key)
    }

    /** Whether somebody else may have told [head] to open the group [key]. */
    fun mayStillOpen(
        key: GroupKey,
        head: TargetEntry,
    ): Boolean {
        if (key.epoch >= state.firstEpoch || StandbyGroups.isStandby(key)) return false
        return head.membership?.state == MemberState.READY || head.membership?.state == MemberState.JOINING
    }

    /**
     * Whether [target] may be used by what its entry shows. An entry is as old as its target's way to the registry, and
     * an earlier controller may have gone on meanwhile; so a target that is in no group of this term is asked.
     */
    fun isVouched(target: TargetEntry): Boolean {
        val key = target.membership?.key
        val isOfThisTerm = key != null && key.epoch >= state.firstEpoch
        if (!state.hasPredecessor || isOfThisTerm) return true
        val vouch = state.vouches[target.id]?.takeIf { it.instance == target.instance && it.key == key }
        val isCurrent = vouch != null && now - vouch.at < settings.vouchMilliseconds
        if (isCurrent) return vouch.agrees == true
        state = state.copy(vouches = state.vouches + (target.id to Vouch(target.instance, key, agrees = null, now)))
        ask(target)
        return false
    }

    /** Whether [target] has just said, or left unsaid, that its entry doesn't show how it stands. */
    fun isDoubted(target: TargetEntry): Boolean {
        val vouch = state.vouches[target.id]?.takeIf { it.instance == target.instance } ?: return false
        return vouch.agrees == false && now - vouch.at < settings.vouchMilliseconds
    }

    /** Asks some other target of the failure domain, so that a broken path isn't taken for a silent target. */
    fun askWitness(
        view: DomainView,
        except: Set<HostId>,
    ) {
        val others = view.entries.values.filter { it.id !in except && it.instance !in state.silent }
        others.minWithOrNull(compareBy({ state.askedAt[it.id] ?: 0L }, { it.id }))?.let(::ask)
    }

    /** Takes over what the view lists, and drops what has no more use. */
    fun refresh(view: DomainView) {
        val oldest = now - settings.rememberMilliseconds
        val rosters = Rosters.update(state.rosters, view, now, oldest)
        val instances = (view.entries.values + rosters.values.flatMap { it.members.values }).map { it.instance }.toSet()
        state =
            state.copy(
                rosters = rosters,
                dissolved = state.dissolved.filter { (key, at) -> at > oldest || key in rosters },
                silent = state.silent.filterKeys { it in instances },
                unanswered = state.unanswered.filterKeys { it in instances },
                unlistedAliveSince = state.unlistedAliveSince.filterKeys { it in instances && it.id !in view.entries },
                standby = state.standby.filter { (id, standby) -> id in view.entries && standby.until > now },
                known = view.entries.keys,
                lastNewAt = if (state.known.containsAll(view.entries.keys)) state.lastNewAt else now,
                askedAt = state.askedAt.filterValues { it > oldest },
                unsettled = state.unsettled.filterValues { it > oldest },
                vouches = state.vouches.filterValues { it.at > oldest },
                staging = state.staging.filter { (id, staging) -> isUnderWay(view.entries[id], staging) },
            )
    }

    private fun isUnderWay(
        entry: TargetEntry?,
        staging: Staging,
    ): Boolean = entry != null && staging.model !in entry.staged && staging.until > now
}
