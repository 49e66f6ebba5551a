import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {json} from 'node:stream/consumers';
import {request} from 'undici';
import {z} from 'zod';
import {
	decodeRequestSchema, importRequestSchema, orderRequestSchema, prefillRequestSchema,
} from '../src/common/upstreams/engine-api.js';
import type {
	DecodeRequest, ImportRequest, LoadReply, OrderState, Owner, PrefillRequest, RequestList,
} from '../src/common/upstreams/engine-api.js';
import {
	bytesPerToken, blockBytes, estimateTokens, prefixHashes,
} from '../src/common/upstreams/prefix.js';
import {answerId, answerLength, answerToken} from './answer.js';
import {BlockPool} from './block-pool.js';
import {CacheEvents} from './cache-events.js';
import {DecodeBatch} from './decode-batch.js';
import type {BatchMember} from './decode-batch.js';
import {EngineOrders} from './engine-orders.js';
import type {Fault} from './faults.js';
import {SharedLink} from './link.js';
import {PrefillQueue} from './prefill-queue.js';
import {FakeServer} from './server.js';
import type {FakeServerOptions} from './server.js';

export type FakeEngineOptions = FakeServerOptions & {
	readonly role?: OrderState['role'];
	readonly models?: readonly string[];
	/** Requests decoded at once. */
	readonly slots?: number;
	readonly cacheBlocks?: number;
	/** Bytes per second of the link for KV transfers. */
	readonly linkRate?: number;
	/** Time per prompt token that is not cached, in milliseconds. */
	readonly prefillTokenMs?: number;
	/** Time of a decode step, in milliseconds: a fixed part, and a part for each request in the batch. */
	readonly decodeStepMs?: number;
	readonly decodeStepPerRequestMs?: number;
	/** KV cache bytes of one token. */
	readonly kvBytesPerToken?: number;
	readonly checksFencing?: boolean;
	/** Address of the weight store that orders load from. */
	readonly weightStore?: string;
};

/** How long a prefill result is kept, in milliseconds. */
const resultLifetimeMs = 800;
/** How often the published load figures are taken, in milliseconds. */
const loadIntervalMs = 250;
/** How long a finished stream can still be resumed, in milliseconds. */
const finishedLifetimeMs = 10_000;
/** Longest transfer, in milliseconds; a result is never pinned longer by a stalled one. */
const transferTimeoutMs = 5000;
/** Prefills remembered for the record. */
const maxRecorded = 100_000;
const tokensPerBlock = blockBytes / bytesPerToken;

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
	/** Transfers under way; the result stays until they end. */
	transfers: number;
	hasExpired: boolean;
	cancelJob: () => void;
	finish: (isDone: boolean) => void;
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
	produced: number;
	stream?: ServerResponse;
};

/** One prefill in the record of an engine. */
export type PrefillRecord = {
	readonly requestId: string;
	/** Unix milliseconds. */
	readonly startedMs: number;
	readonly answerId: string;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	outcome: 'running' | 'held' | 'transferred' | 'expired' | 'cancelled';
};

/** What an engine did, as `GET /control/record` answers it. */
export type EngineRecord = {
	readonly kind: 'engine';
	/** Requests that carried an `Authorization` header; no upstream may see a key. */
	readonly keysSeen: number;
	readonly prefills: readonly PrefillRecord[];
	readonly decodes: ReadonlyArray<{readonly requestId: string; readonly answerId: string; readonly isComplete: boolean}>;
	readonly outputTokens: number;
	readonly refusals: number;
	readonly cancels: number;
	readonly orders: ReadonlyArray<z.infer<typeof orderRequestSchema>>;
	/** Requests that hold memory now. */
	readonly requests: RequestList['requests'];
};

/** An inference engine with continuous batching, a prefix cache and KV transfers. */
export class FakeEngine extends FakeServer {
	private readonly _slots: number;
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
		this._kvBytesPerToken = options.kvBytesPerToken ?? 100_000;
		this._pool = new BlockPool(options.cacheBlocks ?? 2000, (kind, hash) => {
			this._events.add(kind, hash, performance.now());
		});
		const prefillTokenMs = options.prefillTokenMs ?? 0.07;
		this._queue = new PrefillQueue(tokens => tokens * prefillTokenMs * this.slowness);
		const stepMs = options.decodeStepMs ?? 20;
		const perRequestMs = options.decodeStepPerRequestMs ?? 0.5;
		this._batch = new DecodeBatch(batch => (stepMs + (perRequestMs * batch)) * this.slowness);
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
		}, loadIntervalMs);
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

	override record(): EngineRecord {
		return {
			kind: 'engine',
			keysSeen: this.keysSeen,
			prefills: this._prefillRecords,
			decodes: this._decodeRecords,
			outputTokens: this._outputTokens,
			refusals: this._refusals,
			cancels: this._cancels,
			orders: this._orders.accepted,
			requests: this._listRequests(),
		};
	}

	protected override applyFault(fault: Fault): void {
		if (fault.fault === 'drop-events' || fault.fault === 'none') {
			this._events.isDropping = fault.fault === 'drop-events';
		}

		if (fault.fault === 'stall-transfers' || fault.fault === 'none') {
			this._link.isStalled = fault.fault === 'stall-transfers';
		}
	}

	protected override async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
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
				const stale = this._orders.submit(orderRequestSchema.parse(await json(req)));
				this.reply(res, stale ? 409 : 202, stale ? {code: 'stale-fencing', highest: stale.staleBehind} : this._orders.state);
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

		this._endPrefill(req.requestId, 'cancelled');
		const promptTokens = estimateTokens(req.prompt);
		const hashes = prefixHashes(req.prompt, Math.ceil(req.prompt.length / blockBytes));
		const cachedTokens = Math.min(this._pool.matching(hashes) * tokensPerBlock, promptTokens - 1);
		const privateBlocks = Math.ceil(promptTokens / tokensPerBlock) - hashes.length;
		if (this.isLeaving || this._queue.isFull || !this._pool.hold(hashes)) {
			this._refuse(res, 'full');
			return;
		}

		if (!this._pool.takePrivate(privateBlocks)) {
			this._pool.unhold(hashes);
			this._refuse(res, 'full');
			return;
		}

		const id = answerId(req.prompt, req.requestId);
		const entry: PrefillRecord = {
			requestId: req.requestId, startedMs: Date.now(), answerId: id, promptTokens, cachedTokens, outcome: 'running',
		};
		this._remember(entry);
		const handle = `${req.requestId}~${randomUUID().slice(0, 8)}`;
		const isDone = await new Promise<boolean>(resolve => {
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
				transfers: 0,
				hasExpired: false,
				cancelJob() {
					// Set below, once the job exists.
				},
				finish: resolve,
			};
			this._prefills.set(req.requestId, prefill);
			prefill.cancelJob = this._queue.add(req.priority, promptTokens - cachedTokens, () => {
				this._holdResult(prefill);
			});
		});
		if (!isDone) {
			this.reply(res, 410, {code: 'cancelled'});
			return;
		}

		this.reply(res, 200, {
			handle, promptTokens, cachedTokens, kvBytes: promptTokens * this._kvBytesPerToken, expiresInMs: resultLifetimeMs,
		});
	}

	private _holdResult(prefill: Prefill): void {
		prefill.phase = 'prefilled';
		prefill.entry.outcome = 'held';
		prefill.timer = this._after(resultLifetimeMs, () => {
			prefill.hasExpired = true;
			if (prefill.transfers === 0) {
				this._endPrefill(prefill.req.requestId, 'expired');
			}
		});
		prefill.finish(true);
	}

	private _endPrefill(requestId: string, outcome: PrefillRecord['outcome']): boolean {
		const prefill = this._prefills.get(requestId);
		if (!prefill) {
			return false;
		}

		this._prefills.delete(requestId);
		if (prefill.entry.outcome !== 'transferred') {
			prefill.entry.outcome = outcome;
		}

		this._clear(prefill.timer);
		prefill.cancelJob();
		this._pool.unhold(prefill.hashes);
		this._pool.releasePrivate(prefill.privateBlocks);
		prefill.finish(false);
		return true;
	}

	/** Answers another engine: first the facts of a handle, then, with `data`, once the bytes have crossed this engine's link. */
	private async _export(handle: string, isData: boolean, res: ServerResponse): Promise<void> {
		const prefill = this._prefills.get(handle.slice(0, handle.lastIndexOf('~')));
		if (prefill?.handle !== handle || prefill.phase !== 'prefilled' || prefill.hasExpired) {
			this.reply(res, 410, {code: 'expired'});
			return;
		}

		if (!isData) {
			this.reply(res, 200, prefill.info);
			return;
		}

		const abort = new AbortController();
		const timer = this._after(transferTimeoutMs, () => {
			abort.abort(new Error('the transfer took too long'));
		});
		res.once('close', () => {
			abort.abort(new Error('the importing engine closed the connection'));
		});
		prefill.transfers++;
		try {
			await this._link.transfer(prefill.info.kvBytes, abort.signal);
			prefill.entry.outcome = 'transferred';
			this.reply(res, 200, prefill.info);
			this._endPrefill(prefill.req.requestId, 'transferred');
		} catch {
			this.reply(res, 504, {code: 'transfer-failed'});
		} finally {
			this._clear(timer);
			prefill.transfers--;
			if (prefill.hasExpired && prefill.transfers === 0) {
				this._endPrefill(prefill.req.requestId, 'expired');
			}
		}
	}

	private async _import(req: ImportRequest, res: ServerResponse): Promise<void> {
		if (this._orders.role === 'prefill') {
			this._refuse(res, 'wrong-role', 409);
			return;
		}

		const earlier = this._decodes.get(req.requestId);
		if (earlier) {
			// The import is sent again after a lost answer, or the request runs a second time.
			this._endDecode(earlier);
		}

		if (this.isLeaving || this._busySlots >= this._slots) {
			this._refuse(res, 'full');
			return;
		}

		const decode = this._createDecode(req);
		this._decodes.set(req.requestId, decode);
		try {
			const info = await this._pull(req, decode);
			decode.info = info;
			decode.phase = 'imported';
			this.reply(res, 200, {importedBytes: info.kvBytes});
		} catch (err) {
			if (this._decodes.get(req.requestId) === decode) {
				this._endDecode(decode);
			}

			const code = err instanceof ImportFailure ? err.code : 'transfer-failed';
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
			produced: 0,
			step: () => this._step(decode),
		};
		return decode;
	}

	/** Fetches the KV cache from the prefill engine over that engine's link and this engine's own. */
	private async _pull(req: ImportRequest, decode: Decode): Promise<HandleInfo> {
		const {signal} = decode.abort;
		const url = `http://${req.source}/v1/kv/${encodeURIComponent(req.handle)}`;
		const info = await this._fetchHandle(url, signal);
		const blocks = Math.ceil(info.promptTokens / tokensPerBlock);
		if (!this._pool.takePrivate(blocks)) {
			throw new ImportFailure('full');
		}

		decode.blocks = blocks;
		await (req.source === this.address ? this._fetchHandle(`${url}?data`, signal) : Promise.all([this._fetchHandle(`${url}?data`, signal), this._link.transfer(info.kvBytes, signal)]));

		return info;
	}

	private async _fetchHandle(url: string, signal: AbortSignal): Promise<HandleInfo> {
		const {statusCode, body} = await request(url, {signal, headersTimeout: transferTimeoutMs});
		const content = await body.json();
		if (statusCode !== 200) {
			throw new ImportFailure(statusCode === 410 ? 'expired' : 'transfer-failed');
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

		for (let n = req.after + 1; n <= decode.produced; n++) {
			this._write(decode, n);
		}

		if (decode.phase === 'finished') {
			this._writeEnd(decode);
		}
	}

	/** Generates one token; false after the last. */
	private _step(decode: Decode): boolean {
		decode.produced++;
		this._outputTokens++;
		const total = decode.info!.promptTokens + decode.produced;
		if (total > decode.blocks * tokensPerBlock && this._pool.takePrivate(1)) {
			decode.blocks++;
		}

		this._write(decode, decode.produced);
		if (decode.produced < decode.length) {
			return true;
		}

		this._finishDecode(decode);
		return false;
	}

	private _write(decode: Decode, n: number): void {
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
		this._after(finishedLifetimeMs, () => {
			if (this._decodes.get(decode.requestId) === decode) {
				this._decodes.delete(decode.requestId);
			}
		});
	}

	private _endDecode(decode: Decode): void {
		this._decodes.delete(decode.requestId);
		decode.abort.abort(new ImportFailure('cancelled'));
		this._batch.remove(decode);
		this._pool.releasePrivate(decode.blocks);
		decode.blocks = 0;
		if (decode.phase === 'decoding') {
			this._recordDecode(decode, false);
			decode.stream?.destroy();
		}
	}

	private _cancel(requestId: string): boolean {
		const hadPrefill = this._endPrefill(requestId, 'cancelled');
		const decode = this._decodes.get(requestId);
		if (decode) {
			this._endDecode(decode);
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
				freeBlocks: this._pool.free,
				totalBlocks: this._pool.total,
				leaving: this.isLeaving,
			},
		};
	}

	private _remember(entry: PrefillRecord): void {
		this._prefillRecords.push(entry);
		if (this._prefillRecords.length > maxRecorded) {
			this._prefillRecords.shift();
		}
	}

	private _recordDecode(decode: Decode, isComplete: boolean): void {
		this._decodeRecords.push({requestId: decode.requestId, answerId: decode.info!.answerId, isComplete});
		if (this._decodeRecords.length > maxRecorded) {
			this._decodeRecords.shift();
		}
	}

	private _after(delayMs: number, run: () => void): NodeJS.Timeout {
		const timer = setTimeout(() => {
			this._timers.delete(timer);
			run();
		}, delayMs);
		this._timers.add(timer);
		return timer;
	}

	private _clear(timer: NodeJS.Timeout | undefined): void {
		if (timer) {
			clearTimeout(timer);
			this._timers.delete(timer);
		}
	}
}

/** Why an import ended without the KV cache. */
class ImportFailure extends Error {
	constructor(readonly code: 'full' | 'expired' | 'cancelled' | 'transfer-failed') {
		super(code);
	}
}
