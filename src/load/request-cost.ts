import {requestMarker} from '../../fakes/answer.js';
import {bytesPerToken} from '../common/upstreams/prompt-prefix.js';
import type {TraceRequest} from './trace.js';

/** Returns the tokens that are charged to the tenant's rate limit before the request runs. */
export function requestCost(req: TraceRequest): number {
	if (req.kind === 'plain') {
		return req.cost;
	}

	const prompt = req.shared.reduce((sum, {tokens}) => sum + tokens, 0) + req.ownTokens + Math.ceil(requestMarker(req.id).length / bytesPerToken);
	return prompt + req.maxTokens;
}
