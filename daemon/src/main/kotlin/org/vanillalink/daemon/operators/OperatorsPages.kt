/*
 * The pages of the operators' port that read and change what the whole daemon knows.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.daemon.control.ConfigurationExecutor
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.daemon.settings.DaemonSettings
import org.vanillalink.store.TableStore
import java.time.Clock

/** Makes the pages of the daemon that runs with [settings]. */
class OperatorsPages(
    settings: DaemonSettings,
    loop: ControlLoop,
    editor: ConfigurationExecutor,
    table: TableStore,
    isReachable: () -> Boolean,
    isDraining: () -> Boolean,
    clock: Clock,
) {
    private val health = HealthPages(loop, isDraining)
    private val configuration = ConfigurationPages(settings.daemon.value, loop, editor, clock)
    private val status = StatusPages(loop)

    /** The pages by path. */
    val byPath: Map<String, OperatorsPage> =
        mapOf(
            "/healthz" to health.health,
            "/readyz" to health.readiness,
            "/configuration" to configuration.show,
            "/configuration/edits" to configuration.apply,
            "/configuration/check" to ConfigurationCheckPage(loop),
            "/configuration/history" to ConfigurationHistoryPage(settings.daemon.value, loop, table),
            "/daemons" to DaemonsPage(status, health, clock, isReachable),
            "/groups" to GroupsPage(status),
            "/targets" to TargetsPage(status, clock),
        )
}
