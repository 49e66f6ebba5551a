/* eslint-disable @typescript-eslint/naming-convention -- the published API uses snake case */
import {z} from 'zod';
import {hashText} from '../../common/core/fnv.js';
import {maxPartsPerReport} from '../../common/quarantine/messages.js';
import {normalizeParts} from '../../common/quarantine/parts.js';
import type {Usage} from '../../common/upstreams/engine-api.js';
import {ProblemError} from './problems.js';

/** Largest number of output tokens that a caller may set as the limit of a request; the customer's burst usually allows fewer. */
const maxOutputTokens = 1_000_000;

const textPartSchema = z.looseObject({type: z.literal('text'), text: z.string()});

/**
Request body of the widely used chat completions API. Engines take neither sampling parameters nor tools, so fields that would
change the structure of the response are refused, and hints such as `temperature` are ignored.
*/
const chatRequestSchema = z.looseObject({
	/** Name of a model service. */
	model: z.string().min(1).max(63),
	messages: z.array(z.looseObject({
		role: z.string().min(1).max(32),
		content: z.union([z.string(), z.array(textPartSchema)]).nullish(),
	})).min(1),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
	max_tokens: z.int().min(1).max(maxOutputTokens).nullish(),
	max_completion_tokens: z.int().min(1).max(maxOutputTokens).nullish(),
	n: z.literal(1, 'only one choice is produced').nullish(),
	tools: z.array(z.unknown()).max(0, 'tools are not supported').nullish(),
});

export type ChatRequest = {
	readonly service: string;
	readonly prompt: string;
	/**
	Ids of the prompt's parts, one for each message, by which a prompt that crashes engines is recognized. All messages together stand for the request as a whole; where they are
	more than a crash report names, an id of the whole prompt does.
	*/
	readonly parts: readonly string[];
	readonly isStreaming: boolean;
	readonly includeUsage: boolean;
	/** Largest number of output tokens; undefined if the caller set no limit. */
	readonly maxTokens: number | undefined;
};

/** Parses a request body; throws a `ProblemError` that names the first invalid field. */
export function parseChatRequest(body: Uint8Array): ChatRequest {
	const result = chatRequestSchema.safeParse(parseJson(body));
	if (!result.success) {
		const issue = result.error.issues[0]!;
		throw new ProblemError('invalid-request', {detail: `${issue.path.join('.') || '(body)'}: ${issue.message}`});
	}

	const {data} = result;
	const lines = data.messages.map(message => formatMessage(message));
	return {
		service: data.model,
		prompt: buildPrompt(lines),
		parts: normalizeParts([...(lines.length > maxPartsPerReport ? [hashText(lines.join(''))] : []), ...lines.map(line => hashText(line))]),
		isStreaming: data.stream ?? false,
		includeUsage: data.stream_options?.include_usage ?? false,
		maxTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
	};
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(body));
	} catch (err) {
		throw new ProblemError('malformed-json', {detail: err instanceof Error ? err.message : 'the body is not JSON'});
	}
}

type Message = z.infer<typeof chatRequestSchema>['messages'][number];

function formatMessage({role, content}: Message): string {
	const text = typeof content === 'string' ? content : (content ?? []).map(part => part.text).join('');
	return `${role}: ${text}\n`;
}

/** Joins the formatted messages to one prompt. Conversations with the same leading messages get prompts with the same prefix, so that engines can reuse the KV cache of that prefix. */
function buildPrompt(lines: readonly string[]): string {
	return lines.join('') + 'assistant: ';
}

/** Fields that appear in the JSON document of a completion and in every chunk of a streamed completion. */
export type CompletionMetadata = {
	readonly id: string;
	/** Unix time in seconds. */
	readonly created: number;
	readonly model: string;
};

export type FinishReason = 'stop' | 'length';

function formatUsage({promptTokens, outputTokens}: Usage) {
	return {prompt_tokens: promptTokens, completion_tokens: outputTokens, total_tokens: promptTokens + outputTokens};
}

export function formatCompletion(metadata: CompletionMetadata, text: string, finishReason: FinishReason, usage: Usage): string {
	return JSON.stringify({
		...metadata,
		object: 'chat.completion',
		choices: [{index: 0, message: {role: 'assistant', content: text}, finish_reason: finishReason}],
		usage: formatUsage(usage),
	});
}

function formatSseEvent(data: unknown): string {
	return `data: ${JSON.stringify(data)}\n\n`;
}

export function formatTextChunk(metadata: CompletionMetadata, text: string, isFirst: boolean): string {
	const delta = isFirst ? {role: 'assistant', content: text} : {content: text};
	return formatSseEvent({...metadata, object: 'chat.completion.chunk', choices: [{index: 0, delta, finish_reason: null}]});
}

/** Formats the last chunks of a complete stream and its end marker; there is no usage chunk if `usage` is undefined. */
export function formatFinalChunks(metadata: CompletionMetadata, finishReason: FinishReason, usage: Usage | undefined): string {
	const object = 'chat.completion.chunk';
	const last = formatSseEvent({...metadata, object, choices: [{index: 0, delta: {}, finish_reason: finishReason}]});
	const withUsage = usage
		? formatSseEvent({
			...metadata, object, choices: [], usage: formatUsage(usage),
		})
		: '';
	return `${last}${withUsage}data: [DONE]\n\n`;
}

/** Formats the last chunk of an incomplete stream; no end marker follows, so that callers do not take the text for complete. */
export function formatErrorChunk(problemDocument: string): string {
	return formatSseEvent({error: JSON.parse(problemDocument) as unknown});
}
