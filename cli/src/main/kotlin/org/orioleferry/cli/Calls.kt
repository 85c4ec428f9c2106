package org.orioleferry.cli

import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLParameter
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.KSerializer

internal val ApiCall.hasEffect: Boolean get() = method != HttpMethod.Get

/** Creates a `GET` call of [path] with those of [parameters] that are not null as its query. */
internal fun getCall(
    path: String,
    vararg parameters: Pair<String, Any?>,
): ApiCall {
    val query =
        parameters
            .filter { (_, value) -> value != null }
            .joinToString("&") { (name, value) -> "$name=${value.toString().encodeURLParameter()}" }
    return ApiCall(HttpMethod.Get, if (query.isEmpty()) path else "$path?$query")
}

internal fun <T> postCall(
    path: String,
    serializer: KSerializer<T>,
    body: T,
    isRepeatable: Boolean,
    timeoutMs: Long? = null,
): ApiCall = ApiCall(HttpMethod.Post, path, toolJson.encodeToString(serializer, body), isRepeatable, timeoutMs)

internal fun jobPath(id: String): String = "/v1/jobs/${id.encodeURLPathPart()}"
