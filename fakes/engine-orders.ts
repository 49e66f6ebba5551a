import {request} from 'undici';
import type {Order, OrderRequest, OrderState} from '../src/common/upstreams/engine-api.js';

/** Timeout of a request to the weight store, in milliseconds. */
const weightsTimeoutMs = 600_000;

/** Executes the orders that an engine receives: checks their fencing tokens, changes the role, and loads weights from the weight store. */
export class EngineOrders {
	/** Accepted orders, oldest first. An order that was submitted more than once is listed once. */
	readonly acceptedOrders: OrderRequest[] = [];
	private readonly _models: Set<string>;
	private readonly _adapters = new Set<string>();
	private _highestFencing = 0;
	private _activeLoads = 0;

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
		const lastOrderId = this.acceptedOrders.at(-1)?.orderId;
		return {
			highestFencing: this._highestFencing,
			...(lastOrderId !== undefined && {lastOrderId}),
			models: [...this._models],
			adapters: [...this._adapters],
			role: this._role,
			loading: this._activeLoads > 0,
		};
	}

	/**
	Accepts an order and starts to execute it, unless an order with the same id was accepted before. Returns undefined if the order is accepted.
	If the engine checks fencing tokens and the token of the order is lower than the highest accepted one, refuses the order and returns the highest one.
	*/
	submit(req: OrderRequest): {readonly acceptedFencing: number} | undefined {
		if (this._checksFencing && req.fencing < this._highestFencing) {
			return {acceptedFencing: this._highestFencing};
		}

		this._highestFencing = Math.max(this._highestFencing, req.fencing);
		if (this.acceptedOrders.every(other => other.orderId !== req.orderId)) {
			this.acceptedOrders.push(req);
			void this._execute(req.order);
		}

		return undefined;
	}

	private async _execute(order: Order): Promise<void> {
		if (order.kind === 'set-role') {
			this._role = order.role;
			return;
		}

		this._activeLoads++;
		try {
			await this._fetchWeights(order.bytes);
			if (order.kind === 'load-model') {
				this._models.add(order.model);
			} else {
				this._adapters.add(order.adapter);
			}
		} catch {
			// A failed model or adapter load leaves the lists of models and adapters unchanged, which `GET /v1/orders` shows.
		} finally {
			this._activeLoads--;
		}
	}

	private async _fetchWeights(bytes: number): Promise<void> {
		if (this._weightStore) {
			const {body, statusCode} = await request(`http://${this._weightStore}/v1/weights?bytes=${bytes}`, {headersTimeout: weightsTimeoutMs});
			await body.dump();
			if (statusCode !== 200) {
				throw new Error(`weight store answered with status ${statusCode}`);
			}
		}
	}
}
