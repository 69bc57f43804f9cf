// Replaces undici in the bundle: exports only Client, with `request` as its only API method.
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');

Dispatcher.prototype.request = require('../node_modules/undici/lib/api/api-request.js');

module.exports = { Client };
