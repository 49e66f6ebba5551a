import {request} from 'undici';
import type {Order, OrderRequest, OrderState} from '../src/common/upstreams/engine-api.js';

/** Longest wait for weights, in milliseconds. */
const loadTimeoutMs = 600_000;

/** Orders of an engine: the fencing check, and loads of weights from the store. */
export class EngineOrders {
	/** Every accepted order, oldest first. */
	readonly accepted: OrderRequest[] = [];
	private readonly _models: Set<string>;
	private readonly _adapters = new Set<string>();
	private _highestFencing = 0;
	private _loading = 0;

	constructor(
		models: readonly string[],
		private _role: OrderState['role'],
		private readonly _checksFencing: boolean,
		private readonly _weightStore: string | undefined,
	) {
		this._models = new Set(models);
	}

	get role(): OrderState['role'] {
		return this._role;
	}

	get state(): OrderState {
		const lastOrderId = this.accepted.at(-1)?.orderId;
		return {
			highestFencing: this._highestFencing,
			...(lastOrderId !== undefined && {lastOrderId}),
			models: [...this._models],
			adapters: [...this._adapters],
			role: this._role,
			loading: this._loading > 0,
		};
	}

	/** Accepts an order, or returns the highest fencing number when the order's is stale. A repeated order changes nothing. */
	submit(req: OrderRequest): {readonly staleBehind: number} | undefined {
		if (this._checksFencing && req.fencing < this._highestFencing) {
			return {staleBehind: this._highestFencing};
		}

		this._highestFencing = Math.max(this._highestFencing, req.fencing);
		if (this.accepted.every(other => other.orderId !== req.orderId)) {
			this.accepted.push(req);
			void this._execute(req.order);
		}

		return undefined;
	}

	private async _execute(order: Order): Promise<void> {
		if (order.kind === 'set-role') {
			this._role = order.role;
			return;
		}

		this._loading++;
		try {
			await this._fetchWeights(order.bytes);
			if (order.kind === 'load-model') {
				this._models.add(order.model);
			} else {
				this._adapters.add(order.adapter);
			}
		} catch {
			// An engine that cannot fetch the weights keeps its former models; `GET /v1/orders` shows it.
		} finally {
			this._loading--;
		}
	}

	private async _fetchWeights(bytes: number): Promise<void> {
		if (this._weightStore) {
			const {body, statusCode} = await request(`http://${this._weightStore}/v1/weights?bytes=${bytes}`, {headersTimeout: loadTimeoutMs});
			await body.dump();
			if (statusCode !== 200) {
				throw new Error(`the weight store answered ${statusCode}`);
			}
		}
	}
}
