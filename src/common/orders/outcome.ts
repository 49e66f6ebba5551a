/** Derives the outcome of an accepted order from the state that the engine reports. */
import type {Order, OrderState} from '../upstreams/engine-api.js';
import type {OrderOutcome} from './types.js';

/** Whether the state reflects the order. Engines report models without versions, so the version is not checked. */
function isEffectVisible(order: Order, state: OrderState): boolean {
	switch (order.kind) {
		case 'load-model': {
			return state.models.includes(order.model);
		}

		case 'load-adapter': {
			return state.adapters.includes(order.adapter);
		}

		case 'set-role': {
			return state.role === order.role;
		}
	}
}

/** Returns the outcome of an accepted order, or undefined while the engine still carries it out. */
export function outcomeOf(orderId: string, order: Order, state: OrderState): OrderOutcome | undefined {
	if (state.loading) {
		return undefined;
	}

	if (state.lastOrderId !== orderId) {
		return {status: 'failed', detail: `the engine accepted the order but now reports ${state.lastOrderId ?? 'none'} as its last one; it may have restarted`};
	}

	return isEffectVisible(order, state) ? {status: 'done'} : {status: 'failed', detail: 'the engine accepted the order but does not show its effect; see the engine\'s log'};
}

/** Number of bytes that the order loads from the weight store. */
export function bytesToLoad(order: Order): number {
	return order.kind === 'set-role' ? 0 : order.bytes;
}
