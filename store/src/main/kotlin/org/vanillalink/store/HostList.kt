/*
 * The platform's list of live and leaving hosts. It lags behind the truth.
 */
package org.vanillalink.store

import arrow.core.Either
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import java.util.concurrent.CompletableFuture

/** Access to the host list. */
interface HostList {
    /** The hosts of [failureDomain] that the platform lists now. */
    fun hosts(failureDomain: FailureDomainId): CompletableFuture<Either<StoreFailure, List<Host>>>
}
