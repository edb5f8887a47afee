/*
 * The platform of a joined scenario: the table in memory, and the list of hosts.
 */
package org.vanillalink.control.simulation

import arrow.core.Either
import arrow.core.left
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.StoreBehaviour
import java.time.Duration

internal class SimulatedPlatform(
    private val network: SimulatedNetwork,
) {
    val table = InMemoryTableStore()
    private val hosts = LinkedHashMap<HostId, Host>()

    fun becomeUnavailable() {
        table.behaviour = StoreBehaviour.UNAVAILABLE
    }

    fun loseAnswers() {
        table.behaviour = StoreBehaviour.LOSES_ANSWERS
    }

    fun recover() {
        table.behaviour = StoreBehaviour.ANSWERS
    }

    fun list(host: Host) {
        hosts[host.id] = host
    }

    fun listAsLeaving(host: HostId) = list(hosts.getValue(host).copy(status = HostStatus.LEAVING))

    fun readHosts(
        from: String,
        answered: (List<Host>) -> Unit,
    ) = network.ask<List<Host>>(
        from,
        SimulatedNetwork.PLATFORM,
        { answer -> if (table.behaviour != StoreBehaviour.UNAVAILABLE) answer(hosts.values.toList()) },
    ) { it?.let(answered) }

    fun read(
        from: String,
        keys: Set<RowKey>,
        answered: (Either<StoreFailure, Map<RowKey, Row>>) -> Unit,
    ) = call(from, { table.readNow(keys) }, answered)

    fun scan(
        from: String,
        prefix: String,
        answered: (Either<StoreFailure, Map<RowKey, Row>>) -> Unit,
    ) = call(from, { table.scanNow(prefix) }, answered)

    fun transact(
        from: String,
        writes: List<ConditionalWrite>,
        answered: (Either<StoreFailure, TransactionResult>) -> Unit,
    ) = call(from, { table.transactNow(writes) }, answered)

    private fun <T : Any> call(
        from: String,
        act: () -> Either<StoreFailure, T>,
        answered: (Either<StoreFailure, T>) -> Unit,
    ) = network.ask<Either<StoreFailure, T>>(from, SimulatedNetwork.PLATFORM, { it(act()) }, TIMEOUT) {
        answered(it ?: StoreFailure.AnswerLost.left())
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
