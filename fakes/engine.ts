import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {json} from 'node:stream/consumers';
import {request} from 'undici';
import {z} from 'zod';
import {
	callIdHeader, decodeRequestSchema, importRequestSchema, orderRequestSchema, prefillRequestSchema,
} from '../src/common/upstreams/engine-api.js';
import type {
	DecodeRequest, ImportRequest, LoadReply, OrderState, Owner, PrefillRequest, RequestList,
} from '../src/common/upstreams/engine-api.js';
import {
	bytesPerToken, blockBytes, estimateTokens, prefixHashes,
} from '../src/common/upstreams/prompt-prefix.js';
import {answerId, answerLength, answerToken} from './answer.js';
import {BlockPool} from './block-pool.js';
import {CacheEvents} from './cache-events.js';
import {DecodeBatch} from './decode-batch.js';
import type {BatchMember} from './decode-batch.js';
import {EngineOrders} from './engine-orders.js';
import type {Fault} from './faults.js';
import {SharedLink} from './shared-link.js';
import {PrefillQueue} from './prefill-queue.js';
import {FakeServer} from './server.js';
import type {FakeServerOptions} from './server.js';

export type FakeEngineOptions = FakeServerOptions & {
	/** Initial role of the engine. */
	readonly role?: OrderState['role'];
	/** Names of the models that are loaded at the start. */
	readonly models?: readonly string[];
	/** Number of decode slots. A request occupies one from the start of its import until its last token. */
	readonly slots?: number;
	/** Capacity of the KV cache, in blocks. */
	readonly cacheBlocks?: number;
	/** Rate of the link for KV transfers, in bytes per second. */
	readonly linkRate?: number;
	/** Prefill time of each prompt token that is not cached, in milliseconds. */
	readonly prefillTokenMs?: number;
	/** Fixed part of the duration of a decode step, in milliseconds. */
	readonly decodeStepMs?: number;
	/** Time that each request in the batch adds to a decode step, in milliseconds. */
	readonly decodeStepPerRequestMs?: number;
	/** Size of the KV cache of one token, in bytes. */
	readonly kvBytesPerToken?: number;
	/** Whether answers repeat the ids of their calls; true by default. */
	readonly repeatsCallIds?: boolean;
	/** Whether the engine refuses orders with a stale fencing token. */
	readonly checksFencing?: boolean;
	/** IP address and port of the weight store from which orders load models and adapters. */
	readonly weightStore?: string;
};

/** Time for which a prefill result is kept so that another engine can fetch it, in milliseconds. */
const prefillResultTtlMs = 800;
/** Interval at which the published load figures are measured, in milliseconds. */
const loadSampleIntervalMs = 250;
/** Time for which a stream can be resumed after its last token was generated, in milliseconds. */
const finishedStreamTtlMs = 10_000;
/** Timeout of a KV transfer, in milliseconds. It bounds the time for which a stalled transfer keeps an expired prefill result in memory. */
const transferTimeoutMs = 5000;
/** Maximum number of prefills in the record of an engine, and likewise of decodes. When either number is exceeded, the oldest entry is removed. */
const maxRecordEntries = 100_000;
const tokensPerBlock = blockBytes / bytesPerToken;

/** Schema of the description of a prefill result. An importing engine fetches the description from the engine that holds the result. */
const handleInfoSchema = z.strictObject({
	requestId: z.string(), answerId: z.string(), promptTokens: z.int(), kvBytes: z.int(),
});
type HandleInfo = z.infer<typeof handleInfoSchema>;

type Prefill = {
	readonly req: PrefillRequest;
	readonly handle: string;
	readonly info: HandleInfo;
	readonly hashes: readonly string[];
	readonly privateBlocks: number;
	readonly startedMs: number;
	readonly entry: PrefillRecord;
	phase: 'prefill' | 'prefilled';
	/** Number of KV transfers of this prefill result that are in progress. An expired result is kept until all of them have ended. */
	activeTransfers: number;
	hasExpired: boolean;
	cancelJob: () => void;
	finish: (isComputed: boolean) => void;
	timer?: NodeJS.Timeout;
};

type Decode = BatchMember & {
	readonly requestId: string;
	readonly owner: Owner;
	readonly startedMs: number;
	readonly abort: AbortController;
	phase: 'importing' | 'imported' | 'decoding' | 'finished';
	info?: HandleInfo;
	blocks: number;
	length: number;
	generatedTokens: number;
	stream?: ServerResponse;
};

/** Entry of a prefill in the record of an engine. */
export type PrefillRecord = {
	readonly requestId: string;
	/** Time when the engine accepted the prefill, in Unix milliseconds. */
	readonly startedMs: number;
	readonly answerId: string;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	outcome: 'running' | 'held' | 'transferred' | 'expired' | 'cancelled';
};

/** Record of what an engine did, as returned by `GET /control/record`. */
export type EngineRecord = {
	readonly kind: 'engine';
	/** Number of requests that carried an `Authorization` header. It must be 0, because keys of customers must not reach an upstream. */
	readonly keysSeen: number;
	readonly prefills: readonly PrefillRecord[];
	readonly decodes: ReadonlyArray<{readonly requestId: string; readonly answerId: string; readonly isComplete: boolean}>;
	/** Number of tokens that the engine generated. */
	readonly outputTokens: number;
	/** Number of prefills and imports that the engine refused. */
	readonly refusals: number;
	/** Number of cancellations that ended a request; repeated ones are not counted. */
	readonly cancels: number;
	/** Accepted orders, oldest first. */
	readonly orders: ReadonlyArray<z.infer<typeof orderRequestSchema>>;
	/** Requests that hold KV cache memory at present. */
	readonly requests: RequestList['requests'];
};

/** Test double of an inference engine with continuous batching, a prefix cache and KV transfers. */
export class FakeEngine extends FakeServer {
	private readonly _slots: number;
	private readonly _repeatsCallIds: boolean;
	private readonly _kvBytesPerToken: number;
	private readonly _pool: BlockPool;
	private readonly _events = new CacheEvents();
	private readonly _queue: PrefillQueue;
	private readonly _batch: DecodeBatch;
	private readonly _link: SharedLink;
	private readonly _orders: EngineOrders;
	private readonly _prefills = new Map<string, Prefill>();
	private readonly _decodes = new Map<string, Decode>();
	private readonly _prefillRecords: PrefillRecord[] = [];
	private readonly _decodeRecords: Array<{requestId: string; answerId: string; isComplete: boolean}> = [];
	private readonly _timers = new Set<NodeJS.Timeout>();
	private _loadTimer: NodeJS.Timeout | undefined;
	private _load: {atMs: number; figures: Omit<LoadReply, 'ageMs'>};
	private _outputTokens = 0;
	private _refusals = 0;
	private _cancels = 0;

	constructor(options: FakeEngineOptions) {
		super(options);
		this._slots = options.slots ?? 20;
		this._repeatsCallIds = options.repeatsCallIds ?? true;
		this._kvBytesPerToken = options.kvBytesPerToken ?? 100_000;
		this._pool = new BlockPool(options.cacheBlocks ?? 2000, (kind, hash) => {
			this._events.add(kind, hash, performance.now());
		});
		const prefillTokenMs = options.prefillTokenMs ?? 0.07;
		this._queue = new PrefillQueue(tokens => tokens * prefillTokenMs * this.serviceTimeFactor);
		const stepMs = options.decodeStepMs ?? 20;
		const perRequestMs = options.decodeStepPerRequestMs ?? 0.5;
		this._batch = new DecodeBatch(batchSize => (stepMs + (perRequestMs * batchSize)) * this.serviceTimeFactor);
		this._link = new SharedLink(options.linkRate ?? 1e10);
		this._orders = new EngineOrders(options.models ?? [], options.role ?? 'both', options.checksFencing ?? true, options.weightStore);
		this._load = this._measureLoad();
	}

	private get _busySlots(): number {
		return [...this._decodes.values()].filter(({phase}) => phase !== 'finished').length;
	}

	override async start(): Promise<void> {
		await super.start();
		this._loadTimer = setInterval(() => {
			this._load = this._measureLoad();
		}, loadSampleIntervalMs);
	}

	override async dispose(): Promise<void> {
		clearInterval(this._loadTimer);
		for (const id of [...this._prefills.keys(), ...this._decodes.keys()]) {
			this._cancel(id);
		}

		for (const timer of this._timers) {
			clearTimeout(timer);
		}

		this._queue.dispose();
		this._batch.dispose();
		this._link.dispose();
		await super.dispose();
	}

	override getRecord(): EngineRecord {
		return {
			kind: 'engine',
			keysSeen: this.keysSeen,
			prefills: this._prefillRecords,
			decodes: this._decodeRecords,
			outputTokens: this._outputTokens,
			refusals: this._refusals,
			cancels: this._cancels,
			orders: this._orders.acceptedOrders,
			requests: this._listRequests(),
		};
	}

	protected override applyFault(fault: Fault): void {
		if (fault.fault === 'drop-events' || fault.fault === 'none') {
			this._events.isDroppingEvents = fault.fault === 'drop-events';
		}

		if (fault.fault === 'stall-transfers' || fault.fault === 'none') {
			this._link.isStalled = fault.fault === 'stall-transfers';
		}
	}

	protected override async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const callId = req.headers[callIdHeader];
		if (callId !== undefined && this._repeatsCallIds) {
			res.setHeader(callIdHeader, callId);
		}

		const url = new URL(req.url ?? '/', 'http://engine');
		const id = decodeURIComponent(url.pathname.split('/').at(-1) ?? '');
		const route = `${req.method} ${url.pathname.replace(/^(\/v1\/(?:requests|kv))\/(?!import$).+$/, '$1/:id')}`;
		switch (route) {
			case 'POST /v1/prefill': {
				await this._prefill(prefillRequestSchema.parse(await json(req)), res);
				break;
			}

			case 'POST /v1/kv/import': {
				await this._import(importRequestSchema.parse(await json(req)), res);
				break;
			}

			case 'GET /v1/kv/:id': {
				await this._export(id, url.searchParams.has('data'), res);
				break;
			}

			case 'POST /v1/decode': {
				this._decode(decodeRequestSchema.parse(await json(req)), res);
				break;
			}

			case 'DELETE /v1/requests/:id': {
				this._cancels += this._cancel(id) ? 1 : 0;
				this.reply(res, 204);
				break;
			}

			case 'GET /v1/requests': {
				this.reply(res, 200, {requests: this._listRequests()});
				break;
			}

			case 'GET /v1/load': {
				this.reply(res, 200, {ageMs: performance.now() - this._load.atMs, ...this._load.figures});
				break;
			}

			case 'GET /v1/cache-events': {
				this.reply(res, 200, this._events.read(Number(url.searchParams.get('after') ?? 0), performance.now()));
				break;
			}

			case 'POST /v1/orders': {
				const rejection = this._orders.submit(orderRequestSchema.parse(await json(req)));
				this.reply(res, rejection ? 409 : 202, rejection ? {code: 'stale-fencing', highest: rejection.acceptedFencing} : this._orders.state);
				break;
			}

			case 'GET /v1/orders': {
				this.reply(res, 200, this._orders.state);
				break;
			}

			default: {
				this.reply(res, 404, {code: 'unknown-path'});
			}
		}
	}

	private _refuse(res: ServerResponse, code: string, status = 429): void {
		this._refusals++;
		this.reply(res, status, {code});
	}

	private async _prefill(req: PrefillRequest, res: ServerResponse): Promise<void> {
		if (this._orders.role === 'decode') {
			this._refuse(res, 'wrong-role', 409);
			return;
		}

		this._removePrefill(req.requestId, 'cancelled');
		const promptTokens = estimateTokens(req.prompt);
		const hashes = prefixHashes(req.prompt, Math.ceil(req.prompt.length / blockBytes));
		const cachedTokens = Math.min(this._pool.countCachedPrefix(hashes) * tokensPerBlock, promptTokens - 1);
		const privateBlocks = Math.ceil(promptTokens / tokensPerBlock) - hashes.length;
		if (this.isLeaving || this._queue.isFull || !this._pool.acquirePrefix(hashes)) {
			this._refuse(res, 'full');
			return;
		}

		if (!this._pool.allocatePrivate(privateBlocks)) {
			this._pool.releasePrefix(hashes);
			this._refuse(res, 'full');
			return;
		}

		const id = answerId(req.prompt, req.requestId);
		const entry: PrefillRecord = {
			requestId: req.requestId, startedMs: Date.now(), answerId: id, promptTokens, cachedTokens, outcome: 'running',
		};
		this._recordPrefill(entry);
		const handle = `${req.requestId}~${randomUUID().slice(0, 8)}`;
		const isComputed = await new Promise<boolean>(resolve => {
			const prefill: Prefill = {
				req,
				handle,
				info: {
					requestId: req.requestId, answerId: id, promptTokens, kvBytes: promptTokens * this._kvBytesPerToken,
				},
				hashes,
				privateBlocks,
				startedMs: performance.now(),
				entry,
				phase: 'prefill',
				activeTransfers: 0,
				hasExpired: false,
				cancelJob() {
					// There is no job to cancel yet. This function is replaced below, once the prefill is queued.
				},
				finish: resolve,
			};
			this._prefills.set(req.requestId, prefill);
			prefill.cancelJob = this._queue.add(req.priority, promptTokens - cachedTokens, () => {
				this._holdResult(prefill);
			});
		});
		if (!isComputed) {
			this.reply(res, 410, {code: 'cancelled'});
			return;
		}

		this.reply(res, 200, {
			handle, promptTokens, cachedTokens, kvBytes: promptTokens * this._kvBytesPerToken, expiresInMs: prefillResultTtlMs,
		});
	}

	private _holdResult(prefill: Prefill): void {
		prefill.phase = 'prefilled';
		prefill.entry.outcome = 'held';
		prefill.timer = this._schedule(prefillResultTtlMs, () => {
			prefill.hasExpired = true;
			if (prefill.activeTransfers === 0) {
				this._removePrefill(prefill.req.requestId, 'expired');
			}
		});
		prefill.finish(true);
	}

	/** Removes the prefill of a request and releases its blocks. Sets `outcome` in the record unless the result was transferred. Returns false if the request has no prefill. */
	private _removePrefill(requestId: string, outcome: PrefillRecord['outcome']): boolean {
		const prefill = this._prefills.get(requestId);
		if (!prefill) {
			return false;
		}

		this._prefills.delete(requestId);
		if (prefill.entry.outcome !== 'transferred') {
			prefill.entry.outcome = outcome;
		}

		this._clearTimer(prefill.timer);
		prefill.cancelJob();
		this._pool.releasePrefix(prefill.hashes);
		this._pool.releasePrivate(prefill.privateBlocks);
		prefill.finish(false);
		return true;
	}

	/** Answers `GET /v1/kv/:id`, which an importing engine sends. A request with the query parameter `data` is answered once the bytes of the KV cache have crossed the link of this engine, and one without it immediately. */
	private async _export(handle: string, isDataRequest: boolean, res: ServerResponse): Promise<void> {
		const prefill = this._prefills.get(handle.slice(0, handle.lastIndexOf('~')));
		if (prefill?.handle !== handle || prefill.phase !== 'prefilled' || prefill.hasExpired) {
			this.reply(res, 410, {code: 'expired'});
			return;
		}

		if (!isDataRequest) {
			this.reply(res, 200, prefill.info);
			return;
		}

		const abort = new AbortController();
		const timer = this._schedule(transferTimeoutMs, () => {
			abort.abort(new Error('KV transfer timed out'));
		});
		res.once('close', () => {
			abort.abort(new Error('the importing engine closed the connection'));
		});
		prefill.activeTransfers++;
		try {
			await this._link.transfer(prefill.info.kvBytes, abort.signal);
			prefill.entry.outcome = 'transferred';
			this.reply(res, 200, prefill.info);
			this._removePrefill(prefill.req.requestId, 'transferred');
		} catch {
			this.reply(res, 504, {code: 'transfer-failed'});
		} finally {
			this._clearTimer(timer);
			prefill.activeTransfers--;
			if (prefill.hasExpired && prefill.activeTransfers === 0) {
				this._removePrefill(prefill.req.requestId, 'expired');
			}
		}
	}

	private async _import(req: ImportRequest, res: ServerResponse): Promise<void> {
		if (this._orders.role === 'prefill') {
			this._refuse(res, 'wrong-role', 409);
			return;
		}

		const previous = this._decodes.get(req.requestId);
		if (previous) {
			// The router resends the import after a lost reply, or it runs the request a second time. In both cases the new import replaces the previous one.
			this._removeDecode(previous);
		}

		if (this.isLeaving || this._busySlots >= this._slots) {
			this._refuse(res, 'full');
			return;
		}

		const decode = this._createDecode(req);
		this._decodes.set(req.requestId, decode);
		try {
			const info = await this._fetchKvCache(req, decode);
			decode.info = info;
			decode.phase = 'imported';
			this.reply(res, 200, {importedBytes: info.kvBytes});
		} catch (err) {
			if (this._decodes.get(req.requestId) === decode) {
				this._removeDecode(decode);
			}

			const code = err instanceof KvImportError ? err.code : 'transfer-failed';
			this.reply(res, code === 'full' ? 429 : (code === 'transfer-failed' ? 502 : 410), {code});
		}
	}

	private _createDecode(req: ImportRequest): Decode {
		const decode: Decode = {
			requestId: req.requestId,
			owner: req.owner,
			startedMs: performance.now(),
			abort: new AbortController(),
			phase: 'importing',
			blocks: 0,
			length: 0,
			generatedTokens: 0,
			step: () => this._generateToken(decode),
		};
		return decode;
	}

	/**
	Transfers the KV cache of a request from the prefill engine, over the links of both engines if they differ. Returns the description of the prefill result.
	Throws `KvImportError` if the cache does not fit, the handle has expired or the prefill engine answers with another error.
	*/
	private async _fetchKvCache(req: ImportRequest, decode: Decode): Promise<HandleInfo> {
		const {signal} = decode.abort;
		const url = `http://${req.source}/v1/kv/${encodeURIComponent(req.handle)}`;
		const info = await this._fetchHandleInfo(url, signal);
		if (info.requestId !== req.requestId) {
			throw new KvImportError('transfer-failed');
		}

		const blocks = Math.ceil(info.promptTokens / tokensPerBlock);
		if (!this._pool.allocatePrivate(blocks)) {
			throw new KvImportError('full');
		}

		decode.blocks = blocks;
		await (req.source === this.address ? this._fetchHandleInfo(`${url}?data`, signal) : Promise.all([this._fetchHandleInfo(`${url}?data`, signal), this._link.transfer(info.kvBytes, signal)]));

		return info;
	}

	private async _fetchHandleInfo(url: string, signal: AbortSignal): Promise<HandleInfo> {
		// The connection is closed behind the answer, so that it carries no answer to another call.
		const {statusCode, body} = await request(url, {signal, headersTimeout: transferTimeoutMs, reset: true});
		const content = await body.json();
		if (statusCode !== 200) {
			throw new KvImportError(statusCode === 410 ? 'expired' : 'transfer-failed');
		}

		return handleInfoSchema.parse(content);
	}

	private _decode(req: DecodeRequest, res: ServerResponse): void {
		const decode = this._decodes.get(req.requestId);
		if (!decode?.info) {
			this.reply(res, 404, {code: 'unknown-request'});
			return;
		}

		decode.stream?.destroy();
		if (!this.canWrite(res)) {
			return;
		}

		res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		res.flushHeaders();
		decode.stream = res;
		if (decode.phase === 'imported') {
			decode.phase = 'decoding';
			decode.length = answerLength(decode.info.answerId, req.maxTokens);
			this._batch.add(decode);
		}

		for (let n = req.after + 1; n <= decode.generatedTokens; n++) {
			this._writeToken(decode, n);
		}

		if (decode.phase === 'finished') {
			this._writeEnd(decode);
		}
	}

	/** Generates the next token of a request and returns whether more tokens follow. */
	private _generateToken(decode: Decode): boolean {
		decode.generatedTokens++;
		this._outputTokens++;
		const totalTokens = decode.info!.promptTokens + decode.generatedTokens;
		if (totalTokens > decode.blocks * tokensPerBlock && this._pool.allocatePrivate(1)) {
			decode.blocks++;
		}

		this._writeToken(decode, decode.generatedTokens);
		if (decode.generatedTokens < decode.length) {
			return true;
		}

		this._finishDecode(decode);
		return false;
	}

	private _writeToken(decode: Decode, n: number): void {
		const res = decode.stream;
		if (res && this.canWrite(res)) {
			res.write(`data: ${JSON.stringify({requestId: decode.requestId, n, text: answerToken(decode.info!.answerId, n)})}\n\n`);
		}
	}

	private _writeEnd(decode: Decode): void {
		const res = decode.stream;
		if (res && this.canWrite(res)) {
			const usage = {promptTokens: decode.info!.promptTokens, outputTokens: decode.length};
			res.end(`data: ${JSON.stringify({
				requestId: decode.requestId, n: decode.length + 1, end: true, usage,
			})}\n\n`);
		}
	}

	private _finishDecode(decode: Decode): void {
		decode.phase = 'finished';
		this._pool.releasePrivate(decode.blocks);
		decode.blocks = 0;
		this._recordDecode(decode, true);
		this._writeEnd(decode);
		this._schedule(finishedStreamTtlMs, () => {
			if (this._decodes.get(decode.requestId) === decode) {
				this._decodes.delete(decode.requestId);
			}
		});
	}

	/** Removes a decode, aborts its import or stream, and releases its blocks. */
	private _removeDecode(decode: Decode): void {
		this._decodes.delete(decode.requestId);
		decode.abort.abort(new KvImportError('cancelled'));
		this._batch.remove(decode);
		this._pool.releasePrivate(decode.blocks);
		decode.blocks = 0;
		if (decode.phase === 'decoding') {
			this._recordDecode(decode, false);
			decode.stream?.destroy();
		}
	}

	private _cancel(requestId: string): boolean {
		const hadPrefill = this._removePrefill(requestId, 'cancelled');
		const decode = this._decodes.get(requestId);
		if (decode) {
			this._removeDecode(decode);
		}

		return hadPrefill || (decode !== undefined && decode.phase !== 'finished');
	}

	private _listRequests(): RequestList['requests'] {
		const nowMs = performance.now();
		const prefills = [...this._prefills.values()].map(({req, phase, hashes, privateBlocks, startedMs}) => ({
			requestId: req.requestId, owner: req.owner, phase, kvBlocks: hashes.length + privateBlocks, ageMs: nowMs - startedMs,
		}));
		const decodes = [...this._decodes.values()].flatMap(({requestId, owner, phase, blocks, startedMs}) => phase === 'finished'
			? []
			: [{
				requestId, owner, phase, kvBlocks: blocks, ageMs: nowMs - startedMs,
			}]);
		return [...prefills, ...decodes];
	}

	private _measureLoad(): {atMs: number; figures: Omit<LoadReply, 'ageMs'>} {
		return {
			atMs: performance.now(),
			figures: {
				queuedPrefillTokens: this._queue.queuedTokens,
				activeDecodes: this._busySlots,
				slots: this._slots,
				freeBlocks: this._pool.freeBlocks,
				totalBlocks: this._pool.totalBlocks,
				leaving: this.isLeaving,
			},
		};
	}

	private _recordPrefill(entry: PrefillRecord): void {
		this._prefillRecords.push(entry);
		if (this._prefillRecords.length > maxRecordEntries) {
			this._prefillRecords.shift();
		}
	}

	private _recordDecode(decode: Decode, isComplete: boolean): void {
		this._decodeRecords.push({requestId: decode.requestId, answerId: decode.info!.answerId, isComplete});
		if (this._decodeRecords.length > maxRecordEntries) {
			this._decodeRecords.shift();
		}
	}

	private _schedule(delayMs: number, run: () => void): NodeJS.Timeout {
		const timer = setTimeout(() => {
			this._timers.delete(timer);
			run();
		}, delayMs);
		this._timers.add(timer);
		return timer;
	}

	private _clearTimer(timer: NodeJS.Timeout | undefined): void {
		if (timer) {
			clearTimeout(timer);
			this._timers.delete(timer);
		}
	}
}

/** Error of an import that ended without the KV cache; `code` gives the reason. */
class KvImportError extends Error {
	constructor(readonly code: 'full' | 'expired' | 'cancelled' | 'transfer-failed') {
		super(code);
	}
}
