import type {Dispatcher} from 'undici';
import type {EngineStage, ModelRequestSize, ServerRecord} from '../../common/forwarding/types.js';
import type {SharedConfiguration} from '../../common/configuration/types.js';

/** Values from the headers of a caller's request. */
export type CallerRequest = {
	/** Id that the caller chose for this attempt; servers receive the request under the same id. */
	readonly requestId: string | undefined;
	readonly key: string | undefined;
	/** How long the caller waits for the answer, in milliseconds. */
	readonly waitMs: number | undefined;
	/** Id of the last stream event that the caller received before it resumes the stream; undefined if it does not resume one. */
	readonly lastEventId: string | undefined;
	readonly prompt: ModelRequestSize | undefined;
	/** Ids of the parts of the prompt, in order; empty if the caller states none. Requests that share a part state the same id. */
	readonly promptParts: readonly string[];
};

/** Facts about a request that the router states to the server in its headers. */
export type ServerRequestFacts = {
	/** Time for which the caller still waits for the answer, in milliseconds. */
	readonly waitMs: number;
	/** Incarnation of the server that the request is meant for; any other incarnation rejects it. */
	readonly serverId: string;
	readonly customer: string | undefined;
	readonly lastEventId: string | undefined;
	/** Whether the server is asked to prefill the prompt only and not to generate a reply. */
	readonly isPrefill?: boolean;
	/** Address of the prefill engine that keeps the KV cache of the prompt, and the handle of the cache there. */
	readonly prefill?: {readonly address: string; readonly handle: string};
	/** Id of the memory reservation on the server that the request uses. */
	readonly reservationId?: string;
	/** Level of the request among those that compete for the server, from 0, the most urgent, to 9; absent if all have the same priority. */
	readonly priorityLevel?: number | undefined;
};

/** Values from the headers of a server's answer. */
export type ServerAnswer = {
	readonly requestId: string | undefined;
	/** Whether the server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the server states that it is shutting down. */
	readonly isLeaving: boolean;
	/**
	Time for which this process should send the server no requests, in milliseconds; undefined if the server states none.
	Applies only if the status of the answer rejects the request for overload.
	*/
	readonly retryAfterMs: number | undefined;
	/** Time for which the server remains cold, in milliseconds; undefined if it states none. */
	readonly coldForMs: number | undefined;
};

/** A call that the router makes to a server on its own behalf, not for a caller. */
export type ServerCall = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	/** Names and values of the headers, alternating. */
	readonly headers?: readonly string[];
	readonly body?: string;
};

/** Answer of a prefill engine that has prefilled a prompt; `handle` names the KV cache that the engine keeps. */
export type PrefillResult = {
	readonly handle: string;
	readonly tokens: number;
};

/** Status that an engine reports about itself. */
export type EngineReport = {
	readonly stage: EngineStage | undefined;
	/** Whether the engine is carrying out an order. */
	readonly isBusy: boolean;
	/** Number of orders that this incarnation of the engine has accepted. */
	readonly acceptedOrders: number;
};

/** Order to an engine to change to `stage`. */
export type StageOrder = {
	/** Incarnation of the engine that the order is meant for. */
	readonly serverId: string;
	readonly stage: EngineStage;
	/** Name of the process that gives the order. */
	readonly holder: string;
	/** Fencing token: the epoch of the lease that the process holds. */
	readonly epoch: number;
	/** Number of orders that the engine has accepted so far; the engine rejects this order if the number differs. */
	readonly expectedOrders: number;
};

/** One page of the platform's server list. Entries that cannot be parsed are left out and counted in `unreadableCount`. `nextPage` is undefined on the last page. */
export type ServerListPage = {
	readonly servers: readonly ServerRecord[];
	readonly unreadableCount: number;
	readonly nextPage: string | undefined;
};

export type ParsedConfiguration =
	| {readonly ok: true; readonly version: number; readonly configuration: SharedConfiguration}
	| {readonly ok: false; readonly reason: string};

/** A caller's query for the entry points of a host. */
export type EntryPointQuery = {
	readonly host: string | undefined;
	/** Region and zone of the caller. */
	readonly region: string | undefined;
	readonly zone: string | undefined;
};

/**
Header names, message formats and calls that a platform's callers, servers and operators use. Implementations only
translate and make no decisions. A method that reads one value returns undefined if the value is absent or malformed.
*/
export abstract class FleetProtocol {
	/** Paths of the HTTP interfaces that the router serves. The name of a zone follows `evacuations`. */
	abstract readonly paths: {readonly configuration: string; readonly evacuations: string; readonly entryPoints: string; readonly ready: string};

	/** Reads the headers of a caller's request. `headers` contains names and values, alternating. */
	abstract readCallerRequest(headers: readonly string[]): CallerRequest;
	/**
	Headers of a request to a server: the caller's end-to-end headers, without the customer's key and the headers that only the
	router may set, followed by the headers with which the router states `facts`.
	*/
	abstract serverHeaders(headers: readonly string[], facts: ServerRequestFacts): string[];
	abstract readServerAnswer(headers: readonly string[]): ServerAnswer;
	/** Headers of an answer to a caller: the end-to-end headers of the server's answer. */
	abstract callerHeaders(headers: readonly string[]): string[];
	/** Headers of an answer that the router generates itself. */
	abstract localAnswerHeaders(retryAfterMs: number | undefined): string[];

	/** Builds the call that reserves memory for `tokens` tokens on a decode engine. The engine releases the memory after `ttlMs` milliseconds unless a request uses it. */
	abstract buildReserveMemoryCall(tokens: number, ttlMs: number): ServerCall;
	/** Reads the id of the memory reservation from the answer to `buildReserveMemoryCall`. */
	abstract readReservationId(body: string): string | undefined;
	/** Builds the call that releases a memory reservation. */
	abstract buildReleaseReservationCall(reservationId: string): ServerCall;
	/** Reads the body of a prefill engine's answer to a prompt. */
	abstract readPrefill(body: string): PrefillResult | undefined;
	/** Builds the call that lets a prefill engine discard the KV cache of a prompt. */
	abstract buildReleasePrefillCall(handle: string): ServerCall;

	/** Builds the call that asks an engine for its status. */
	abstract buildReportCall(serverId: string): ServerCall;
	abstract readReport(body: string): EngineReport | undefined;
	/** Builds the call that orders an engine to change its stage. */
	abstract buildStageOrderCall(order: StageOrder): ServerCall;

	/** Path of one page of the platform's server list; `page` is undefined for the first page. */
	abstract listPath(page: string | undefined): string;
	/** Reads one page of the platform's server list. Throws if the page as a whole cannot be parsed. */
	abstract readList(body: string): ServerListPage;

	abstract parseConfiguration(text: string): ParsedConfiguration;
	abstract readEntryPointQuery(query: URLSearchParams): EntryPointQuery;
	/** Body of an answer that names the addresses of entry points, which the caller may use for `validForMs` milliseconds. */
	abstract entryPointAnswer(addresses: readonly string[], validForMs: number): string;
}
