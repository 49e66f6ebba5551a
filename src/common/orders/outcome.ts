/** Derives the outcome of an accepted order from the state that the engine reports. */
import type {Order, OrderState} from '../upstreams/engine-api.js';
import type {OrderOutcome} from './types.js';

/** Whether the reported state shows the effect of the order. The version of a model is not checked, because engines report models without versions. */
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

/** Returns the outcome of an accepted order, or undefined while the engine reports that it is loading. */
export function outcomeOf(orderId: string, order: Order, state: OrderState): OrderOutcome | undefined {
	if (state.loading) {
		return undefined;
	}

	if (state.lastOrderId !== orderId) {
		return {status: 'failed', detail: `the engine accepted the order but now reports ${state.lastOrderId ?? 'none'} as its last one; it may have restarted`};
	}

	return isEffectVisible(order, state) ? {status: 'done'} : {status: 'failed', detail: 'the engine accepted the order but does not show its effect; see the engine\'s log'};
}

/** Returns the number of bytes that the order loads from the weight store; 0 for a role change. */
export function bytesToLoad(order: Order): number {
	return order.kind === 'set-role' ? 0 : order.bytes;
}
