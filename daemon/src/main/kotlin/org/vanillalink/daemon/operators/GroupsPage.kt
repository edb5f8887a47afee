/*
 * The serving groups of the daemon's failure domain, and why each that gets no work doesn't.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.configuration.ServiceKind
import org.vanillalink.control.DaemonControl
import org.vanillalink.groups.GroupDescription
import org.vanillalink.groups.GroupStatus
import org.vanillalink.groups.NotServingReason
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseWriter

internal class GroupsPage(
    private val pages: StatusPages,
) : OperatorsPage {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) = pages.answer(response, ::describe)

    private fun describe(control: DaemonControl): GroupsAnswer {
        val identity = control.membershipState.identity
        val groups = control.servingState.descriptions.values
        return GroupsAnswer(
            daemon = identity.daemon.value,
            failureDomain = identity.failureDomain.value,
            failureDomainState = stateOf(control).name,
            control = controlOf(control),
            services = desiredGroups(control),
            groups = groups.map { describe(it, control) }.sortedBy { it.group },
        )
    }

    private fun describe(
        group: GroupDescription,
        control: DaemonControl,
    ): GroupAnswer {
        val reason = notServing(group, control)
        return GroupAnswer(
            group = group.group.value,
            service = group.service.value,
            generation = group.generation.toString(),
            members = group.members.map { it.value },
            serving = reason == null,
            notServing = reason,
            straggler = control.servingState.stragglers[group.group]?.value,
        )
    }

    companion object {
        /** Groups asked for and groups that are whole, by service. */
        fun desiredGroups(control: DaemonControl): List<DesiredGroupsAnswer> =
            control.configuration.services.filterValues { it.kind == ServiceKind.MODEL }.map { (service, settings) ->
                val whole = control.servingState.servingGroups(service).size
                DesiredGroupsAnswer(service.value, settings.groupsPerFailureDomain, whole)
            }

        /** Whether operators let the daemon's failure domain take work. */
        fun stateOf(control: DaemonControl): FailureDomainState {
            val domain = control.membershipState.identity.failureDomain
            return control.configuration.failureDomains[domain]?.state ?: FailureDomainState.IN
        }

        /** Why [group] gets no work; null while it does. */
        fun notServing(
            group: GroupDescription,
            control: DaemonControl,
        ): NotServingAnswer? {
            val status = control.servingState.groupStatus(group.group)
            if (status is GroupStatus.NotServing) return describe(status.reason)
            val out = stateOf(control) == FailureDomainState.OUT
            return if (out) NotServingAnswer("failure-domain-out") else null
        }

        private fun describe(reason: NotServingReason): NotServingAnswer = when (reason) {
            NotServingReason.NoDescription -> NotServingAnswer("no-description")
            NotServingReason.MembersChanged -> NotServingAnswer("members-changed")
            is NotServingReason.MemberSilent -> NotServingAnswer("member-silent", reason.host.value)
            is NotServingReason.MemberRestarted -> NotServingAnswer("member-restarted", reason.host.value)
            is NotServingReason.MemberNotReady -> notReady(reason)
            is NotServingReason.MemberOfOtherGeneration -> otherGeneration(reason)
        }

        private fun notReady(reason: NotServingReason.MemberNotReady) =
            NotServingAnswer("member-not-ready", reason.host.value, reason.phase.name)

        private fun otherGeneration(reason: NotServingReason.MemberOfOtherGeneration): NotServingAnswer {
            val reported = reason.reported?.let { "reports ${it.group} ${it.generation}" } ?: "reports no group"
            return NotServingAnswer("member-of-other-generation", reason.host.value, reported)
        }
    }
}
