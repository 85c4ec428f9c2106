package org.orioleferry.daemon.page

import java.nio.file.Files
import java.nio.file.Path

/** One request of the page and its answer. */
internal data class Example(
    val heading: String,
    val method: String,
    val path: String,
    val body: String,
    val status: Int,
    val contentType: String,
    val answer: String,
)

/** The examples of `docs/api.md` in the order of the page. */
internal fun readApiPage(): List<Example> =
    Files
        .readString(Path.of("..", "docs", "api.md"))
        .split("\n### ")
        .drop(1)
        .flatMap { section ->
            val blocks = FENCE.findAll(section).map { it.groupValues[1] }.toList()
            blocks.chunked(2).map { (request, answer) -> exampleOf(section.lineSequence().first(), request, answer) }
        }

private val FENCE = Regex("```http\n(.*?)\n```", RegexOption.DOT_MATCHES_ALL)

private fun exampleOf(
    heading: String,
    request: String,
    answer: String,
): Example {
    val (method, path) = request.lineSequence().first().split(' ')
    return Example(
        heading = heading,
        method = method,
        path = path,
        body = request.substringAfter("\n\n", ""),
        status =
            answer
                .lineSequence()
                .first()
                .split(' ')[1]
                .toInt(),
        contentType = answer.lineSequence().first { it.startsWith("Content-Type: ") }.substringAfter(": "),
        answer = answer.substringAfter("\n\n", ""),
    )
}
