/*
 * The name under which a target knows an attempt.
 */
package org.vanillalink.control.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.RequestId

/** Names attempts. */
object AttemptIds {
    /** The id of attempt number [attempt] of [request]. */
    fun create(
        request: RequestId,
        attempt: Int,
    ): AttemptId = AttemptId("$request.$attempt")
}
