import type {ForwardRoute, Forwarding} from '../configuration/forwarding.js';
import type {ServerRecord} from './types.js';

export function buildRoute(changes: Partial<ForwardRoute> = {}): ForwardRoute {
	return {
		name: 'route',
		host: 'desk.example',
		pathPrefix: '/items/',
		repeat: 'safe',
		isResumable: false,
		timeoutMs: 1000,
		targetMs: 100,
		targetGapMs: 0,
		priority: 1,
		maxAttempts: 1,
		isOpen: false,
		targets: [{service: 'desk', weight: 1}],
		...changes,
	};
}

export function buildForwarding(changes: Partial<Forwarding> = {}): Forwarding {
	return {
		routes: [buildRoute()],
		services: [{name: 'desk', healthPath: '/healthz', maxConnections: 100}],
		tenants: [{
			name: 'acme', keys: ['key-1'], unit: 'tokens', defaultCost: 200,
		}],
		limits: {
			headerBytes: 16_384, bodyBytes: 65_536, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		...changes,
	};
}

export function buildServer(changes: Partial<ServerRecord> = {}): ServerRecord {
	return {
		id: 'server-1', service: 'desk', address: '127.0.0.1:1', zone: 'z1', slots: 6, state: 'ready', coldLeftMs: 0, ...changes,
	};
}
