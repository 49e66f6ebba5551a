import type {Dispatcher} from 'undici';
import type {EngineStage, PromptFacts, ServerRecord} from '../../common/forwarding/types.js';
import type {SharedConfiguration} from '../../common/configuration/types.js';

/** What the headers of a caller's request say. */
export type CallerRequest = {
	/** Chosen by the caller for this attempt; names the request at every server. */
	readonly requestId: string | undefined;
	readonly key: string | undefined;
	/** How long the caller waits, in milliseconds. */
	readonly waitMs: number | undefined;
	/** Last event of the stream that the caller has. */
	readonly lastEventId: string | undefined;
	readonly prompt: PromptFacts | undefined;
};

/** What the system says to a server about a request. */
export type SystemFacts = {
	/** Time left for the request, in milliseconds. */
	readonly waitMs: number;
	/** Start of the server that is meant; any other one turns the request away. */
	readonly serverId: string;
	readonly tenant: string | undefined;
	readonly lastEventId: string | undefined;
	/** Whether only the prompt is to be read. */
	readonly isPrefill?: boolean;
	/** Where the KV cache of the prompt lies. */
	readonly prefill?: {readonly address: string; readonly handle: string};
	/** Reservation of memory on the server. */
	readonly hold?: string;
};

/** What the headers of a server's answer say. */
export type ServerAnswer = {
	readonly requestId: string | undefined;
	/** The server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** The server says that it leaves. */
	readonly isLeaving: boolean;
	/** How long the server wants no more requests from this process, in milliseconds, where its status says that it turned one away for that. */
	readonly retryAfterMs: number | undefined;
};

/** A call to a server that is not a caller's request. */
export type ServerCall = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	/** Names and values in turn. */
	readonly headers?: readonly string[];
	readonly body?: string;
};

export type PrefillResult = {
	readonly handle: string;
	readonly tokens: number;
};

/** What an engine says of itself. */
export type EngineReport = {
	readonly stage: EngineStage | undefined;
	/** Whether an order is being carried out. */
	readonly isBusy: boolean;
	/** Orders that this start of the engine accepted. */
	readonly orders: number;
};

export type StageOrder = {
	/** Start of the engine that is meant. */
	readonly serverId: string;
	readonly stage: EngineStage;
	/** The process that gives the order. */
	readonly holder: string;
	/** Fencing number: the epoch of the holder's lease. */
	readonly epoch: number;
	/** The order is refused unless the engine has accepted this many. */
	readonly expectedOrders: number;
};

/** A page of the platform's list; entries that cannot be read are left out and counted. */
export type ListPage = {
	readonly servers: readonly ServerRecord[];
	readonly unreadable: number;
	readonly nextPage: string | undefined;
};

export type ParsedConfiguration =
	| {readonly ok: true; readonly version: number; readonly configuration: SharedConfiguration}
	| {readonly ok: false; readonly reason: string};

/** Where callers of a host may connect. */
export type EntryQuestion = {readonly host: string | undefined; readonly zone: string | undefined};

/**
Names, formats and calls by which a platform's callers, servers and operators speak. An implementation translates and
decides nothing. Readers return undefined for what is absent or malformed.
*/
export abstract class FleetProtocol {
	/** Paths of the interfaces that the system serves. */
	abstract readonly paths: {readonly configuration: string; readonly entryPoints: string; readonly ready: string};

	/** `headers` are names and values in turn. */
	abstract readCallerRequest(headers: readonly string[]): CallerRequest;
	/** The caller's end-to-end headers without the key and without what only the system may set, followed by the system's own. */
	abstract serverHeaders(headers: readonly string[], facts: SystemFacts): string[];
	abstract readServerAnswer(headers: readonly string[]): ServerAnswer;
	/** The server's end-to-end headers. */
	abstract callerHeaders(headers: readonly string[]): string[];
	/** Headers of an answer of the system's own. */
	abstract ownAnswerHeaders(retryAfterMs: number | undefined): string[];

	abstract holdCall(tokens: number, ttlMs: number): ServerCall;
	abstract readHold(body: string): string | undefined;
	abstract releaseHoldCall(hold: string): ServerCall;
	abstract readPrefill(body: string): PrefillResult | undefined;
	abstract releasePrefillCall(handle: string): ServerCall;

	abstract reportCall(serverId: string): ServerCall;
	abstract readReport(body: string): EngineReport | undefined;
	abstract stageOrderCall(order: StageOrder): ServerCall;

	abstract listPath(page: string | undefined): string;
	/** Throws if the page as a whole cannot be read. */
	abstract readList(body: string): ListPage;

	abstract parseConfiguration(text: string): ParsedConfiguration;
	abstract readEntryQuestion(query: URLSearchParams): EntryQuestion;
	abstract entryAnswer(addresses: readonly string[], validForMs: number): string;
}
