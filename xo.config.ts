import type {FlatXoConfig} from 'xo';

const config: FlatXoConfig = [
	{
		ignores: ['dist/**', 'target/**', 'examples/**'],
	},
	{
		rules: {
			// The house style keeps the customary short names, so it goes before XO here.
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					req: true, res: true, cfg: true, err: true, args: true, fn: true, params: true, ref: true, i: true, j: true,
				},
				checkFilenames: false,
			}],
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Type imports stand apart from value imports.
			'import-x/no-duplicates': ['error', {'prefer-inline': false}],
			'import-x/consistent-type-specifier-style': ['error', 'prefer-top-level'],
			'@typescript-eslint/consistent-type-imports': ['error', {fixStyle: 'separate-type-imports'}],
			// Log records, retries and protocol steps must run one after the other.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['src/common/**/*.ts'],
		rules: {
			// The common layer runs without the platform: time, I/O and randomness reach it as events.
			'no-restricted-imports': ['error', {
				patterns: [
					{group: ['node:*'], message: 'src/common must not import Node.js modules.'},
					{regex: String.raw`(^|/)(node|cli|load|platform)/`, message: 'src/common must not import platform layers.'},
				],
			}],
			'no-restricted-globals': ['error', 'process', 'Buffer', 'setTimeout', 'setInterval', 'performance'],
			'no-restricted-properties': ['error', {object: 'Date', property: 'now'}, {object: 'Math', property: 'random'}],
		},
	},
	{
		files: ['src/node/**/*.ts', 'src/cli/**/*.ts', 'src/load/**/*.ts'],
		rules: {
			// The product knows no name of a platform.
			'no-restricted-imports': ['error', {
				patterns: [{regex: String.raw`(^|/)platform/`, message: 'The product must not import an adapter.'}],
			}],
		},
	},
	{
		files: ['platform/**/*.ts'],
		rules: {
			// The adapter holds names, formats and calls; what decides stays in the product.
			'no-restricted-imports': ['error', {
				patterns: [{
					regex: String.raw`common/(access|consensus|control|limits|membership|orders|requests|scheduler)/|forwarding/(forward-|plain-|model-|server-|route-|retry-)`,
					message: 'The adapter must not import what decides.',
				}],
			}],
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			'no-restricted-imports': 'off',
			'no-restricted-globals': 'off',
			'@typescript-eslint/no-floating-promises': ['error', {
				allowForKnownSafeCalls: [{from: 'package', name: ['test', 'describe', 'it'], package: 'node:test'}],
			}],
		},
	},
];

export default config;
