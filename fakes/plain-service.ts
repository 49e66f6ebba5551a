import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fault} from './faults.js';
import {FakeServer} from './server.js';
import type {FakeServerOptions} from './server.js';

export type FakePlainServiceOptions = FakeServerOptions & {
	/** Service time of one call, in milliseconds. */
	readonly serviceMs?: number;
	/** Maximum number of calls that run at the same time; further calls wait. */
	readonly concurrency?: number;
};

/** Record of a call that the service ran. */
export type PlainServiceCall = {
	/** Time when the call arrived, in Unix milliseconds. */
	readonly startedMs: number;
	readonly method: string;
	readonly path: string;
	/** Value of the `idempotency-key` header; undefined if the call has none. */
	readonly idempotencyKey: string | undefined;
	/** SHA-256 of the body, in hexadecimal. */
	readonly bodyDigest: string;
	/** Reference that the caller chose for the call: the query parameter `ref`, otherwise the field `ref` of a JSON body. Undefined if the call has neither. */
	readonly ref: string | undefined;
};

/** Record of what a plain service did, as returned by `GET /control/record`. */
export type PlainServiceRecord = {
	readonly kind: 'plain';
	/** Number of requests that carried an `Authorization` header. It must be 0, because keys of customers must not reach an upstream. */
	readonly keysSeen: number;
	readonly calls: readonly PlainServiceCall[];
};

/** Maximum number of calls that the record lists; the oldest are removed first. */
const maxRecordedCalls = 200_000;

function parseReference(url: URL, body: string): string | undefined {
	const queryReference = url.searchParams.get('ref');
	if (queryReference !== null || body === '') {
		return queryReference ?? undefined;
	}

	try {
		const {ref} = JSON.parse(body) as {ref?: unknown};
		return typeof ref === 'string' ? ref : undefined;
	} catch {
		return undefined;
	}
}

/** Test double of a plain application service. It runs every call that it receives, including duplicates. */
export class FakePlainService extends FakeServer {
	private readonly _calls: PlainServiceCall[] = [];
	private readonly _waitingCalls: Array<() => void> = [];
	private readonly _serviceMs: number;
	private readonly _concurrency: number;
	private _runningCalls = 0;
	private _replyMode: 'answer' | 'hold' | 'reset' = 'answer';

	constructor(options: FakePlainServiceOptions) {
		super(options);
		this._serviceMs = options.serviceMs ?? 10;
		this._concurrency = options.concurrency ?? 64;
	}

	override getRecord(): PlainServiceRecord {
		return {kind: 'plain', keysSeen: this.keysSeen, calls: this._calls};
	}

	protected override applyFault({fault}: Fault): void {
		const replyModes: Partial<Record<Fault['fault'], FakePlainService['_replyMode']>> = {none: 'answer', 'hold-answers': 'hold', 'reset-answers': 'reset'};
		this._replyMode = replyModes[fault] ?? this._replyMode;
	}

	protected override async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await text(req);
		const url = new URL(req.url ?? '/', 'http://service');
		const call: PlainServiceCall = {
			startedMs: Date.now(),
			method: req.method ?? 'GET',
			path: url.pathname,
			idempotencyKey: req.headers['idempotency-key'] as string | undefined,
			bodyDigest: createHash('sha256').update(body).digest('hex'),
			ref: parseReference(url, body),
		};
		await this._acquireSlot();
		try {
			await sleep(this._serviceMs * this.serviceTimeFactor);
		} finally {
			this._releaseSlot();
		}

		this._recordCall(call);
		if (this._replyMode === 'reset') {
			req.socket.resetAndDestroy();
		} else if (this._replyMode === 'answer') {
			this.reply(res, call.method === 'POST' ? 201 : 200, {
				service: this.name, method: call.method, path: call.path, ref: call.ref ?? '', bodyDigest: call.bodyDigest,
			});
		}
	}

	private _recordCall(call: PlainServiceCall): void {
		this._calls.push(call);
		if (this._calls.length > maxRecordedCalls) {
			this._calls.shift();
		}
	}

	private async _acquireSlot(): Promise<void> {
		if (this._runningCalls >= this._concurrency) {
			await new Promise<void>(resolve => {
				this._waitingCalls.push(resolve);
			});
		}

		this._runningCalls++;
	}

	private _releaseSlot(): void {
		this._runningCalls--;
		this._waitingCalls.shift()?.();
	}
}
