/*
 * HTTP client of the platform's host list.
 */
package org.vanillalink.store.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.Host
import org.vanillalink.store.HostList
import org.vanillalink.store.StoreFailure
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpResponseMessage
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/** A [HostList] over `GET /hosts?failure-domain=`. An unchanged list (by its entity tag) isn't sent again. */
class HttpHostList(
    client: HttpClient,
    settings: PlatformSettings,
) : HostList {
    private class CachedHostList(
        val entityTag: String?,
        val hosts: List<Host>,
    )

    private val platform = PlatformHttpClient(client, settings)
    private val cachedLists = ConcurrentHashMap<FailureDomainId, CachedHostList>()

    override fun hosts(failureDomain: FailureDomainId): CompletableFuture<Either<StoreFailure, List<Host>>> {
        val cached = cachedLists[failureDomain]
        val headers = cached?.entityTag?.let { mapOf("if-none-match" to it) }.orEmpty()
        return platform.send("GET", "/hosts?failure-domain=$failureDomain", headers = headers).thenApply { response ->
            response.flatMap {
                if (it.status ==
                    NOT_MODIFIED
                ) {
                    cached?.hosts.orEmpty().right()
                } else {
                    decodeAndCache(failureDomain, it)
                }
            }
        }
    }

    private fun decodeAndCache(
        failureDomain: FailureDomainId,
        response: HttpResponseMessage,
    ): Either<StoreFailure, List<Host>> = platform.decode(response, HostsResponse::class.java).map { hostsResponse ->
        cachedLists[failureDomain] = CachedHostList(response.headers["etag"], hostsResponse.hosts)
        hostsResponse.hosts
    }

    private companion object {
        const val NOT_MODIFIED = 304
    }
}
