import type {IncomingMessage, ServerResponse} from 'node:http';
import {SharedLink} from './shared-link.js';
import {FakeServer} from './server.js';
import type {FakeServerOptions} from './server.js';

export type FakeWeightStoreOptions = FakeServerOptions & {
	/** Rate in bytes per second that all concurrent requests for weights share. */
	readonly rate?: number;
};

/** Test double of the store of model weights. It answers `GET /v1/weights?bytes=N` once N bytes have crossed a link of limited rate that all requests share. */
export class FakeWeightStore extends FakeServer {
	private readonly _link: SharedLink;
	private readonly _loads: Array<{bytes: number; isComplete: boolean}> = [];

	constructor(options: FakeWeightStoreOptions) {
		super(options);
		this._link = new SharedLink(options.rate ?? 1e9);
	}

	override async dispose(): Promise<void> {
		this._link.dispose();
		await super.dispose();
	}

	override getRecord(): unknown {
		return {loads: this._loads};
	}

	protected override async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://store');
		const bytes = Number(url.searchParams.get('bytes'));
		if (url.pathname !== '/v1/weights' || !(bytes >= 0)) {
			this.reply(res, 404, {code: 'unknown-path'});
			return;
		}

		const load = {bytes, isComplete: false};
		this._loads.push(load);
		const abort = new AbortController();
		res.once('close', () => {
			abort.abort(new Error('the engine closed the connection'));
		});
		await this._link.transfer(bytes, abort.signal);
		load.isComplete = true;
		this.reply(res, 200, {bytes});
	}
}
