// Stands for the library in the bundle: the one class that the program uses, with the one call that it makes on it.
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');

Dispatcher.prototype.request = require('../node_modules/undici/lib/api/api-request.js');

module.exports = { Client };
