/*
 * Turns the text of settings into checked ones, naming each that can't be used.
 */
package org.vanillalink.daemon.settings

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.RegionId
import java.net.InetAddress
import java.time.Duration

/** The settings as they were written. */
data class SettingsText(
    val daemon: String,
    val failureDomain: String,
    val region: String,
    val listen: String,
    val operatorsListen: String,
    val peersListen: String,
    val platform: String,
    val seeds: List<String>,
    val secret: String?,
    val drainSeconds: Long,
    val trafficThreads: Int,
)

/** Checks settings. */
object SettingsCheck {
    private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
    private const val NAME_ALLOWED = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"
    private const val ENDPOINT_ALLOWED = "address:port with a port of 1 to 65535"
    private const val LOOPBACK_ALLOWED = "a loopback address, because no --secret is set"
    private const val SECRET_CHARACTERS = 16
    private val DRAIN_SECONDS = 0L..3_600L
    private val TRAFFIC_THREADS = 0..256

    /** The settings that [text] describes, or the first problem in it. */
    fun check(text: SettingsText): Either<SettingsProblem, DaemonSettings> = either {
        val secret = text.secret?.takeIf { it.isNotEmpty() }
        if (secret != null) {
            val allowed = "at least $SECRET_CHARACTERS characters"
            ensure(secret.length >= SECRET_CHARACTERS) { SettingsProblem("--secret", "(hidden)", allowed) }
        }
        inRange("--drain-seconds", text.drainSeconds, DRAIN_SECONDS)
        inRange("--traffic-threads", text.trafficThreads.toLong(), TRAFFIC_THREADS.toLongRange())
        DaemonSettings(
            daemon = DaemonId(name("--daemon", text.daemon)),
            failureDomain = FailureDomainId(name("--failure-domain", text.failureDomain)),
            region = RegionId(name("--region", text.region)),
            listen = endpoint("--listen", text.listen),
            operatorsListen = guarded("--operators-listen", text.operatorsListen, secret),
            peersListen = guarded("--peers-listen", text.peersListen, secret),
            platform = endpoint("--platform", text.platform),
            seeds = text.seeds.map { endpoint("--peer", it) },
            secret = secret,
            drainTimeout = Duration.ofSeconds(text.drainSeconds),
            trafficThreads = text.trafficThreads,
        )
    }

    private fun IntRange.toLongRange(): LongRange = first.toLong()..last.toLong()

    private fun Raise<SettingsProblem>.inRange(
        setting: String,
        value: Long,
        range: LongRange,
    ) = ensure(value in range) { SettingsProblem(setting, value.toString(), "${range.first} to ${range.last}") }

    private fun Raise<SettingsProblem>.name(
        setting: String,
        value: String,
    ): String {
        ensure(NAME.matches(value)) { SettingsProblem(setting, value, NAME_ALLOWED) }
        return value
    }

    private fun Raise<SettingsProblem>.endpoint(
        setting: String,
        value: String,
    ): Endpoint = ensureNotNull(Endpoint.parse(value)) { SettingsProblem(setting, value, ENDPOINT_ALLOWED) }

    private fun Raise<SettingsProblem>.guarded(
        setting: String,
        value: String,
        secret: String?,
    ): Endpoint {
        val endpoint = endpoint(setting, value)
        ensure(secret != null || isLoopback(endpoint)) { SettingsProblem(setting, value, LOOPBACK_ALLOWED) }
        return endpoint
    }

    /** Whether [endpoint] is reachable from its own machine only. */
    fun isLoopback(endpoint: Endpoint): Boolean = InetAddress.getByName(endpoint.address).isLoopbackAddress
}
