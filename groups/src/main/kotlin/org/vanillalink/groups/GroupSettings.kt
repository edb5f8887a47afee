/*
 * How patient the rules of this module are.
 */
package org.vanillalink.groups

import java.time.Duration

/**
 * Settings of the module. A report is evidence for [maxReportAge]. A member that is silent for [memberSilenceTimeout]
 * is replaced. A member below [stragglerFraction] of its service's median speed makes its group a straggler.
 *
 * Control is renewed every [renewInterval]. A candidate of the failure domain tries to take it once the row has stayed
 * the same for [takeoverTimeout], one of another domain after [remoteTakeoverTimeout]. A new controller waits for
 * reports for [maxReportWait]. What the platform didn't answer is tried again at most every [retryInterval].
 *
 * An order that no report shows is sent again after [orderResendInterval]. At most [maxConcurrentWeightLoads] hosts
 * load weights. With [claimsSparesInAdvance] the controller claims idle hosts ahead of need, so that it can use them
 * without the platform.
 */
data class GroupSettings(
    val maxReportAge: Duration = Duration.ofSeconds(2),
    val memberSilenceTimeout: Duration = MEMBER_SILENCE_TIMEOUT,
    val stragglerFraction: Double = 0.5,
    val renewInterval: Duration = Duration.ofSeconds(2),
    val takeoverTimeout: Duration = TAKEOVER_TIMEOUT,
    val remoteTakeoverTimeout: Duration = REMOTE_TAKEOVER_TIMEOUT,
    val maxReportWait: Duration = MAX_REPORT_WAIT,
    val retryInterval: Duration = RETRY_INTERVAL,
    val orderResendInterval: Duration = Duration.ofSeconds(2),
    val maxConcurrentWeightLoads: Int = 2,
    val claimsSparesInAdvance: Boolean = true,
) {
    private companion object {
        val MEMBER_SILENCE_TIMEOUT: Duration = Duration.ofSeconds(4)
        val TAKEOVER_TIMEOUT: Duration = Duration.ofSeconds(8)
        val REMOTE_TAKEOVER_TIMEOUT: Duration = Duration.ofSeconds(24)
        val RETRY_INTERVAL: Duration = Duration.ofMillis(200)
        val MAX_REPORT_WAIT: Duration = Duration.ofSeconds(3)
    }
}
