const routeDefaults = {
	host: 'desk.example', targetLatencyMs: 900, priority: 1, public: false, sticky: false, resumable: false, maxAttempts: 1,
};

/** Configuration of a small deployment: a plain service `desk` with a safe and an unsafe route, and a model service `lm` with two streams. */
export function configuration(version = 1) {
	return {
		version,
		routes: [
			{
				...routeDefaults, name: 'slot-read', pathPrefix: '/read/', kind: 'safe', service: 'desk', maxAttempts: 2, timeoutMs: 1500, targetLatencyMs: 120,
			},
			{
				...routeDefaults, name: 'entry-post', pathPrefix: '/post/', kind: 'unsafe', service: 'desk', timeoutMs: 1500, targetLatencyMs: 120,
			},
			{
				...routeDefaults, name: 'elig-sum', pathPrefix: '/sum/', kind: 'stream', service: 'lm', resumable: true, maxAttempts: 2, sticky: true, timeoutMs: 14_000, targetGapMs: 300,
			},
			{
				...routeDefaults, name: 'draw-note', pathPrefix: '/note/', kind: 'stream', service: 'lm', sticky: true, timeoutMs: 14_000, targetGapMs: 300,
			},
		],
		services: [
			{
				name: 'desk', healthPath: '/healthz', maxConns: 130, protocol: 'h1', tls: false,
			},
			{
				name: 'lm', healthPath: '/healthz', maxConns: 390, protocol: 'h1', tls: false, engine: {
					slots: 64, kvCapacity: 65_205, kvTokenBytes: 18_432, linkMbps: 200_000, moves: true, backups: true, stride: 7, most: 12, handleTtlS: 0.5, switchS: 6, pinMs: 4000, holdMs: 2000, models: [{name: 'm'}],
				},
			},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{
			name: 'acme', apiKeys: ['key-1'], priority: 1, unit: 'tokens', plainTokens: 200, ratePerS: 0, burst: 0,
		}],
	};
}
