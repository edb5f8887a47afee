/*
 * How patient the rules of this module are.
 */
package org.vanillalink.groups

import java.time.Duration

/**
 * Settings of the module. A report is evidence for [reportFresh]. A member that is silent for [memberSilentAfter] is
 * replaced. A member below [stragglerFraction] of its service's median speed makes its group a straggler.
 *
 * Control is renewed every [renewEvery]. A candidate of the failure domain tries to take it once the row has stayed the
 * same for [takeOverAfter], one of another domain after [takeOverFromAfarAfter]. A new controller waits for reports for
 * [observeFor]. What the platform didn't answer is tried again at most every [retryEvery].
 *
 * An order that no report shows is sent again after [orderAgainAfter]. At most [weightLoadsAtOnce] hosts load weights.
 * With [ownSpares] the controller claims idle hosts ahead of need, so that it can use them without the platform.
 */
data class GroupSettings(
    val reportFresh: Duration = Duration.ofSeconds(2),
    val memberSilentAfter: Duration = MEMBER_SILENT_AFTER,
    val stragglerFraction: Double = 0.5,
    val renewEvery: Duration = Duration.ofSeconds(2),
    val takeOverAfter: Duration = TAKE_OVER_AFTER,
    val takeOverFromAfarAfter: Duration = TAKE_OVER_FROM_AFAR_AFTER,
    val observeFor: Duration = OBSERVE_FOR,
    val retryEvery: Duration = RETRY_EVERY,
    val orderAgainAfter: Duration = Duration.ofSeconds(2),
    val weightLoadsAtOnce: Int = 2,
    val ownSpares: Boolean = true,
) {
    private companion object {
        val MEMBER_SILENT_AFTER: Duration = Duration.ofSeconds(4)
        val TAKE_OVER_AFTER: Duration = Duration.ofSeconds(8)
        val TAKE_OVER_FROM_AFAR_AFTER: Duration = Duration.ofSeconds(24)
        val RETRY_EVERY: Duration = Duration.ofMillis(200)
        val OBSERVE_FOR: Duration = Duration.ofSeconds(3)
    }
}
