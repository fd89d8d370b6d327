// Compiles the non-header parts of Asio and Beast, which are built separately.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
