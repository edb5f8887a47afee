/*
 * Timeouts, intervals and limits of this module.
 */
package org.vanillalink.groups

import java.time.Duration

/**
 * A report is used as evidence for [maxReportAge]. A member without a report for [memberSilenceTimeout] is replaced. A
 * member below [stragglerFraction] of its service's median speed makes its group a straggler.
 *
 * Control is renewed every [renewInterval]. A candidate in the failure domain tries to take it once the control row has
 * not changed for [takeoverTimeout], one in another failure domain after [remoteTakeoverTimeout]. A new controller
 * waits for reports for at most [maxReportWait]. Failed calls to the platform are retried at most every
 * [retryInterval].
 *
 * An order that is not confirmed by a report is sent again after [orderResendInterval]. At most
 * [maxConcurrentWeightLoads] hosts load weights at the same time. With [claimsSparesInAdvance] the controller claims
 * idle hosts before they are needed, so that it can use them while the platform is down.
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
